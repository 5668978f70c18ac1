// Package experiment runs experiments on the stand-in fleet: whole coordinators under load and
// breakage, from a seed, side by side with what they are compared with. What one shows is
// a table, a chart and a line of figures.
package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linkpass/internal/daemon"
	"linkpass/internal/emulator"
	"linkpass/internal/shardmap"
)

// class is a class of the experiments' queries.
type class struct {
	name       string
	index      string
	aim, limit time.Duration
	worth      float64
	late       float64 // share of the worth after the aim
	floor      float64
}

// The two classes, as the league has them.
var classes = []class{
	{"team-lookup", "players", time.Second, 2500 * time.Millisecond, 1, 0, 1},
	{"league-table", "tables", 2 * time.Second, 5 * time.Second, 3, 0.3, 0.5},
}

// shape is how a world is built.
type shape struct {
	name     string
	seed     uint64
	servers  int
	nodes    int // coordinators
	slices   int
	records  int
	work     emulator.Capacity
	reshape  string // lines of [reshape] in the coordinators' file
	bodies   string // lines of [bodies]
	operator string // lines of [operator]
	door     bool   // whether coordinators have one
	keys     string // file of the operators' keys
	each     int    // servers of a set
	maxOpen  int
	memoryMB int
}

// world is a fleet and the coordinators before it.
type world struct {
	shape
	fleet  *emulator.Fleet
	dir    string
	nodes  []*node
	client *http.Client
}

// node is one coordinator, run as the platform runs it but in this process.
type node struct {
	p      *daemon.Program
	stop   context.CancelFunc
	done   chan error
	search string // address of its search front
	door   string // address of its door; "": none
}

// settingsOf is the platform's settings for the experiments' classes.
func settingsOf(sh shape) string {
	var list []string
	var floors []string
	for _, c := range classes {
		list = append(list, fmt.Sprintf(`{"name":%q,"aim":%d,"hard_limit":%d,"idempotency":"free","importance":%g,"late_share":%g}`,
			c.name, c.aim.Milliseconds(), c.limit.Milliseconds(), c.worth, c.late))
		floors = append(floors, fmt.Sprint(c.floor))
	}
	return fmt.Sprintf(`{"az":0,"bounds":{"cancel":true,"connect_timeout":250,"keepalive":30000,"max_attempts":3,"max_open":%d,
"max_retry_after":1000,"max_streams":32,"probes":true,"retry_after":true,"second_copies":true},"dcs":["ebene"],"kinds":["std-2core"],
"extra":{"class_need":[1,1],"least_share":[%s],"in_a_row":1,"parts_a_call":1,"places":1,"slabs":1},"peers_total":%d,
"report":{"fields":["active","avg_ms","waiting"],"how":"inline"},"tenants":[],"tick":5,"request_classes":[%s],
"rules":{"answer_slack":20,"cold":%d,"cold_from":%g,"drain_grace":1000,"fall_multiple":2,"tip_after":3000}}`,
		sh.maxOpen, strings.Join(floors, ","), sh.nodes, strings.Join(list, ","), max(1, sh.work.WarmupDuration.Milliseconds()), max(0.01, sh.work.WarmupInitialShare))
}

// worlds counts the worlds of this process.
var worlds atomic.Uint32

// host is a loopback address of a node's own: a port found free there is not taken by
// another world before it is used.
func host(world uint32, node int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, world%250, node+1)
}

// freePort finds a port of a host that is free now.
func freePort(host string) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newWorld starts a fleet and its coordinators, and waits until a leader answers.
func newWorld(sh shape) (w *world, err error) {
	w = &world{shape: sh, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "linkpass-lab-"); err != nil {
		return w, fmt.Errorf("lab: %w", err)
	}
	if w.fleet, err = emulator.NewFleet(sh.servers, sh.records, sh.work, sh.seed); err != nil {
		return w, err
	}
	first, err := shardmap.NewEven(sh.slices, w.fleet.ReplicaSets(sh.each))
	if err != nil {
		return w, err
	}
	for _, c := range classes {
		w.fleet.PlaceShards(c.index, first)
	}
	raft, web, number := make([]string, sh.nodes), make([]string, sh.nodes), worlds.Add(1)
	for i := range raft {
		if raft[i], err = freePort(host(number, i)); err != nil {
			return w, err
		}
		if web[i], err = freePort(host(number, i)); err != nil {
			return w, err
		}
	}
	for i := range raft {
		n, err := w.startNode(i, raft, web)
		if err != nil {
			return w, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, w.ready()
}

// startNode writes a coordinator's files and starts it.
func (w *world) startNode(i int, raft, web []string) (*node, error) {
	known, err := json.Marshal(w.fleet.Discovery.EndpointList())
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	name := fmt.Sprintf("%s-%d-n%d", filepath.Base(w.dir), w.seed, i)
	door := ""
	if w.door {
		if door, err = freePort(host(worlds.Load(), i)); err != nil {
			return nil, err
		}
	}
	config := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","operator":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":%d,"sockets":4096},"known":%s,"settings":%s}`,
		name, door, w.fleet.Discovery.Addr(), w.seed*31+uint64(i), w.memoryMB, known, settingsOf(w.shape))
	var t bytes.Buffer
	fmt.Fprintf(&t, "listen = %q\n[search]\nmax_result_window = 100000\n", web[i])
	sets, _ := json.Marshal(w.fleet.ReplicaSets(w.each)) // arrays of strings are the same in TOML
	for _, c := range classes {
		fmt.Fprintf(&t, "[indices.%s]\nclass = %q\nspread = { slices = %d, sets = %s }\n", c.index, c.name, w.slices, sets)
	}
	for _, s := range w.fleet.Servers {
		fmt.Fprintf(&t, "[servers.%s]\nprotocol = \"search\"\n", s.Name)
	}
	fmt.Fprintf(&t, "[bodies]\n%s\n", strings.ReplaceAll(w.bodies, "DIR", filepath.Join(w.dir, fmt.Sprint("bodies", i))))
	fmt.Fprintf(&t, "[operator]\n%s\n", strings.ReplaceAll(w.operator, "DIR", w.dir))
	fmt.Fprintf(&t, "[reshape]\n%s\n[store]\nid = \"n%d\"\ndir = %q\npace = 0.2\n", w.reshape, i, filepath.Join(w.dir, fmt.Sprint("store", i)))
	for k := range raft {
		fmt.Fprintf(&t, "[[store.members]]\nid = \"n%d\"\nraft = %q\nhttp = %q\n", k, raft[k], web[k])
	}
	files := map[string][]byte{fmt.Sprintf("n%d-config.json", i): []byte(config), fmt.Sprintf("n%d-search.toml", i): t.Bytes()}
	if w.keys != "" {
		files["keys.toml"] = []byte(w.keys)
	}
	for file, data := range files {
		if err := os.WriteFile(filepath.Join(w.dir, file), data, 0o600); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
	}
	cfg, err := daemon.Load(func(key string) string {
		if key == "ROUTER_CONFIG" {
			return filepath.Join(w.dir, fmt.Sprintf("n%d-config.json", i))
		}
		return ""
	})
	if err == nil {
		cfg.Search, err = daemon.LoadSearchConfig(filepath.Join(w.dir, fmt.Sprintf("n%d-search.toml", i)))
	}
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	p, err := daemon.Start(cfg)
	if err != nil {
		return nil, fmt.Errorf("lab: coordinator %d: %w", i, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{p: p, stop: stop, done: make(chan error, 1), search: web[i], door: door}
	go func() { n.done <- p.Serve(ctx, nil) }()
	return n, nil
}

// ready waits until every coordinator finds all keys of both indices, and a leader answers.
func (w *world) ready() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for {
			ok := true
			for _, c := range classes {
				status, body, err := w.ask(n, "POST", "/"+c.index+"/_search", `{"size":1}`)
				ok = ok && err == nil && status == 200 && bytes.Contains(body, []byte(`"failed":0`))
			}
			status, _, err := w.ask(n, "GET", "/_cluster/settings", "")
			if ok && err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("lab: a coordinator was not ready in time (search %v, store status %d, %v)", ok, status, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ask makes one call at a coordinator's search front; a leader elsewhere is followed to.
func (w *world) ask(n *node, method, path, body string) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.search+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(res.Body, 16<<20))
	return res.StatusCode, answer, err
}

// sum adds a counter up over the coordinators.
func (w *world) sum(name string) (n int64) {
	for _, node := range w.nodes {
		n += node.p.Counters().Get(name)
	}
	return n
}

// close ends all of it.
func (w *world) close() {
	var all sync.WaitGroup
	for _, n := range w.nodes {
		all.Go(func() {
			n.stop()
			<-n.done
		})
	}
	all.Wait()
	if w.fleet != nil {
		w.fleet.Close()
	}
	w.client.CloseIdleConnections()
	_ = os.RemoveAll(w.dir)
}
