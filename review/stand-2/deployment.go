//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// The platform's settings of a small deployment: three data centres, two cells that hold three shards each.
const (
	shardCount = 6
	cellCount  = 2
)

var zones = []string{"ebene", "port-louis", "rose-hill"}

// platformSettings returns the settings of a coordinator in a zone, with the figures of the operators' pages.
func platformSettings(zone, coordinators int, singleShot bool) map[string]any {
	class := func(name, repeats string, aim, limit, importance, late float64) map[string]any {
		return map[string]any{"name": name, "aim": aim, "hard_limit": limit, "dedup_window": 5000, "group": "all",
			"idempotency": repeats, "importance": importance, "late_share": late, "stream": false}
	}
	attempts := 3
	classes := []any{class("league-table", "free", 2000, 5000, 3, 0.3), class("team-lookup", "free", 1000, 2500, 1, 0)}
	if singleShot { // as at the second site: no copies, and a cancel stops nothing
		attempts = 4
		classes = []any{class("routing-lookup", "free", 1500, 3000, 1, 0.3), class("port-request", "single_shot", 1500, 5000, 2, 0.1)}
	}
	return map[string]any{
		"az": zone, "dcs": zones, "kinds": []string{"std-2core"}, "membership_mode": "automatic", "tick": 5,
		"peers_total": coordinators, "ordinal": zone, "tenants": []string{}, "weight_source": "rough", "worth_by": "work",
		"stage": 0, "tiers": []string{"league-store"}, "workload": "fanout", "over_share_worth": 0.1,
		"bounds": map[string]any{"cancel": !singleShot, "connect_timeout": 250, "cpu_us_per_s": 400000, "keepalive": 30000,
			"max_attempts": attempts, "max_open": 160, "max_retry_after": 1000, "max_streams": 32, "peer_messages": false,
			"probes": true, "retry_after": true, "second_copies": !singleShot},
		"clients": map[string]any{"marks_retry": true},
		"extra": map[string]any{"call": 0, "class_fetch": []int{0, 0}, "class_need": []float64{1, 1}, "in_a_row": 1,
			"least_share": []float64{1, 1}, "partial_earns": []float64{0.9, 0.9}, "parts_a_call": 1, "places": cellCount,
			"slabs": shardCount, "warm_keys": false},
		"penalties":       map[string]any{"cross_zone": 0.045, "probe": 0.01, "waste": 0.096, "late_fail": 0.08},
		"report":          map[string]any{"fields": []string{"active", "avg_ms", "waiting"}, "how": "inline"},
		"request_classes": classes,
		"rules": map[string]any{"answer_slack": 20, "ask_within": 10000, "cold": 18000, "cold_from": 0.17,
			"drain_grace": 1000, "fall_multiple": 2, "tip_after": 3000},
	}
}

// coordinator is one instance with its files, and the process that runs it.
type coordinator struct {
	record *record
	name   string
	zone   int
	agent  *agent

	dir                            string // of its files; TMPDIR lies in it
	listen, operator, search, raft string // its addresses
	socket                         string // of the operators' API
	singleShot                     bool   // one of its classes may not run twice
	operatorsFile                  string // text of the file that is passed with -opensearch

	client  *clientPool
	process *process
	starts  int
}

// newCoordinator returns a coordinator that is not started yet.
func newCoordinator(r *record, name string, zone int, a *agent) (*coordinator, error) {
	dir, err := tempFolder()
	if err != nil {
		return nil, err
	}
	c := &coordinator{record: r, name: name, zone: zone, agent: a, dir: dir, listen: freeAddr(), operator: freeAddr(),
		search: freeAddr(), raft: freeAddr(), socket: filepath.Join(dir, "operator.sock")}
	c.client = newClientPool(r, c)
	return c, nil
}

// start starts a process of the coordinator, as the platform does: with the list of league servers that the coordinator
// held last. A socket is passed on as descriptor 7.
func (c *coordinator) start(coordinators int, known list, operator string, socket *os.File) (*process, error) {
	c.starts++
	temp := filepath.Join(c.dir, "tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.agent.addr(), "operator": operator,
		"seed":   fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": platformSettings(c.zone, coordinators, c.singleShot),
	})
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(c.dir, fmt.Sprintf("config-%d.json", c.starts))
	filePath := filepath.Join(c.dir, "opensearch.toml")
	for path, text := range map[string]string{configPath: string(config), filePath: c.operatorsFile} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	env := []string{"ROUTER_NAME=" + c.name, "ROUTER_LISTEN=" + c.listen, "ROUTER_DISCOVERY=" + c.agent.addr(),
		"ROUTER_OPERATOR=" + operator, "ROUTER_CONFIG=" + configPath, "TMPDIR=" + temp}
	var files []*os.File
	if socket != nil {
		files = []*os.File{nil, nil, nil, nil, socket} // the first is descriptor 3
		env = append(env, "ROUTER_LISTEN_FD=7")
	}
	name := fmt.Sprintf("%s/%d", c.name, c.starts)
	log := filepath.Join(c.dir, "log")
	p, err := startProcess(c.record, name, log, env, files, "/bin/sh", "-c", "exec bin/linkpass -opensearch "+filePath)
	if err != nil {
		return nil, err
	}
	c.process = p
	return p, nil
}

// storeFile returns an operators' file with a search front, the operators' API and the store. members has the Raft and
// HTTP addresses of the instances as this one reaches them.
func (c *coordinator) storeFile(members []member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "listen = %q\n[operator]\nsocket = %q\n[store]\nid = %q\ndir = %q\n", c.search, c.socket,
		c.name, filepath.Join(c.dir, "store"))
	for _, m := range members {
		fmt.Fprintf(&b, "[[store.members]]\nid = %q\nraft = %q\nhttp = %q\n", m.id, m.raft, m.http)
	}
	return b.String()
}

type member struct{ id, raft, http string }

// command runs a command of the operators at the coordinator, and returns what it prints.
func (c *coordinator) command(args ...string) (string, error) {
	out, err := exec.Command("bin/linkpass", append([]string{"--socket", c.socket}, args...)...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// order runs a command and says how it ended.
func (c *coordinator) order(args ...string) error {
	out, err := c.command(args...)
	c.record.say("at %s: linkpass %s: %s (%v)", c.name, strings.Join(args, " "), strings.ReplaceAll(out, "\n", " / "), err)
	return err
}

// awaitOrder repeats a command until it succeeds.
func (c *coordinator) awaitOrder(limit time.Duration, args ...string) (err error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if _, err = c.command(args...); err == nil {
			return c.order(args...)
		}
	}
	return fmt.Errorf("at %s: linkpass %s: %w", c.name, strings.Join(args, " "), err)
}

// agreed is the replicated state of the servers that a coordinator shows.
type agreed struct {
	Version uint64   `json:"version"`
	Removed []string `json:"removed"`
}

func (c *coordinator) agreed() (out agreed, err error) {
	text, err := c.command("-o", "json", "servers", "agreed")
	if err == nil {
		err = json.Unmarshal([]byte(text), &out)
	}
	return out, err
}

// keepLog copies the end of the coordinator's log to the record.
func (c *coordinator) keepLog() {
	data, _ := os.ReadFile(filepath.Join(c.dir, "log"))
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, "event=counters") {
			c.record.note("log of %s: %s", c.name, strings.TrimSpace(line))
		}
	}
}

// platformSocket returns a listening socket at the coordinator's address, which the platform holds.
func (c *coordinator) platformSocket() (*os.File, error) {
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener).File()
}
