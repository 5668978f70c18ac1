package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/searchconfig"
	"linkpass/internal/settings"
	"linkpass/internal/store"
)

const settingsText = `{"az":0,"bounds":{"cancel":true,"connect_timeout":250.0,"keepalive":30000.0,"max_attempts":3,"max_open":160,
"max_retry_after":1000.0,"max_streams":32,"probes":true,"retry_after":true,"second_copies":true},"dcs":["ebene"],"kinds":["m2"],
"extra":{"class_need":[1.0,1.0],"least_share":[1.0,0.5],"in_a_row":1,"parts_a_call":1,"places":3,"slabs":6},"peers_total":3,
"report":{"fields":["active","avg_ms","waiting"],"how":"inline"},"tenants":[],"tick":5.0,
"request_classes":[{"aim":8000.0,"hard_limit":20000.0,"idempotency":"free","importance":1.0,"late_share":0.3,"name":"whole"},
{"aim":8000.0,"hard_limit":20000.0,"idempotency":"free","importance":1.0,"late_share":0.3,"name":"share"}],
"rules":{"answer_slack":20.0,"cold":18000.0,"cold_from":0.17,"drain_grace":1000.0,"fall_multiple":2.0,"tip_after":3000.0}}`

// testbed is a coordinator with emulated clients, league servers and discovery.
type testbed struct {
	*fleet
	p        *Program
	signals  chan os.Signal
	platform *client
	search   *client
	stop     func()
	queries  int
}

func newTestbed(t *testing.T, cells int, changes ...func(*Config)) *testbed {
	t.Setenv("TMPDIR", t.TempDir())
	b := &testbed{fleet: newFleet(t), signals: make(chan os.Signal)}
	cfg := Config{name: "n0", listen: "127.0.0.1:0", adminListen: "127.0.0.1:0", discovery: b.addr, seed: 5, memoryMB: 192, sockets: 1024}
	var err error
	if cfg.routingSettings, cfg.programSettings, err = settings.ParseJSON([]byte(settingsText)); err != nil {
		t.Fatal(err)
	}
	cfg.initialEndpoints = discovery.EndpointList{Version: 0, Full: true}
	for cell := range cells {
		for _, replica := range []string{"a", "b"} {
			s := b.addServer(fmt.Sprintf("s-%d%s", cell, replica), cell)
			cfg.initialEndpoints.Endpoints = append(cfg.initialEndpoints.Endpoints, s.entry("in_service", 0))
		}
	}
	raft, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Search = SearchConfig{Listen: "127.0.0.1:0", Config: searchconfig.Config{Indices: map[string]searchconfig.Index{
		"players": {Class: "whole", Shards: []int{0, 1, 2}}, "tables": {Class: "share", Shards: []int{0, 1}}, "lost": {Class: "whole", Shards: []int{0, 77}}}},
		Store: store.Config{ID: "a", Dir: t.TempDir(), TimeScale: 0.2, Listener: raft,
			Members: []store.Member{{ID: "a", Raft: raft.Addr().String(), HTTP: "here"}}}}
	for _, change := range changes {
		change(&cfg)
	}
	if b.p, err = Start(cfg); err != nil {
		t.Fatal(err)
	}
	term, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.p.Serve(term, b.signals) }()
	b.stop = sync.OnceFunc(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(b.stop)
	b.platform = connect(t, b.p.fronts.listeners[0].Addr().String())
	if len(b.p.fronts.listeners) > 1 {
		b.search = connect(t, b.p.fronts.listeners[1].Addr().String())
	}
	<-b.watchedFrom // the watch continues from the known list
	return b
}

// awaitReady waits until the program has applied discovery's first answer. newTestbed waits only until discovery is
// asked for it.
func (b *testbed) awaitReady() {
	b.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !b.p.readiness.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			b.t.Fatalf("not ready after 10 s, state %s", b.p.readiness.State())
		}
	}
}

// query sends a query by the platform's protocol, and returns the response's status and its body if the status is 200.
func (b *testbed) query(c *client, class string, timeout time.Duration, shards ...int) (status int, out struct {
	Exact bool
	Rows  []struct {
		ID   int
		Data string
	}
}) {
	b.t.Helper()
	b.queries++
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%f}`, s, 1/float64(len(shards))))
	}
	res := c.do("POST", "/"+class, `{"parts":[`+strings.Join(parts, ",")+`],"expr":"c41e"}`, map[string][]string{
		"X-Request-Id": {fmt.Sprint("q", b.queries)}, "X-Timeout-Ms": {fmt.Sprint(timeout.Milliseconds())}, "X-Priority-Class": {class}})
	if res.Status == 200 {
		if err := json.Unmarshal(res.Body, &out); err != nil {
			b.t.Fatal(err)
		}
	}
	return res.Status, out
}

type searchResponse struct {
	TimedOut bool `json:"timed_out"`
	Shards   struct {
		Total, Successful, Failed int
		Failures                  []struct {
			Shard  int
			Reason struct{ Type, Reason string }
		}
	} `json:"_shards"`
	Hits struct {
		Total struct{ Value int }
		Hits  []struct {
			ID    string  `json:"_id"`
			Score float64 `json:"_score"`
		}
	}
	Error struct{ Type string }
}

// searchIndex sends a query by the search protocol, and returns the response's status and body.
func (b *testbed) searchIndex(index, body string) (status int, out searchResponse) {
	b.t.Helper()
	b.queries++
	res := b.search.do("POST", "/"+index+"/_search", body, nil)
	if err := json.Unmarshal(res.Body, &out); err != nil {
		b.t.Fatalf("response %s: %v", res.Body, err)
	}
	return res.Status, out
}

// putSettings changes the settings, once the store has a leader.
func (b *testbed) putSettings(patch string) {
	b.t.Helper()
	for {
		res := b.search.do("PUT", "/_cluster/settings", `{"persistent":`+patch+`}`, nil)
		if res.Status == 200 {
			return
		}
		if res.Status != 503 {
			b.t.Fatalf("status = %d, body %s; want 200 or 503", res.Status, res.Body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkInvariants checks every part that has reached a server: the server has a replica of its shard, no part has more
// than 3 attempts, and none may take longer than 20 s, the longest deadline of a query. Every query that was received
// has ended.
func (b *testbed) checkInvariants() {
	b.t.Helper()
	parts, _ := b.partsSince(0)
	attempts := map[string]int{}
	for _, p := range parts {
		if b.servers[p.server].cell != p.shard%3 {
			b.t.Errorf("a part of shard %d was sent to %s, which has no replica of it", p.shard, p.server)
		}
		if attempts[p.name]++; attempts[p.name] > 3 {
			b.t.Errorf("got attempt %d of part %s, want at most 3", attempts[p.name], p.name)
		}
		if p.wait <= 0 || p.wait > 20*time.Second {
			b.t.Errorf("part %s may take %v, want more than 0 and at most 20 s", p.name, p.wait)
		}
	}
	count := b.p.counters
	ended := count.Get("queries_answered") + count.Get("queries_rejected") + count.Get("queries_failed")
	if received := count.Get("queries_received"); received != ended || received == 0 {
		b.t.Errorf("%d queries received and %d ended, want the same number above 0", received, ended)
	}
}

// metrics reads the metrics at the admin listener.
func (b *testbed) metrics() map[string]int {
	b.t.Helper()
	res := connect(b.t, b.p.admin.bound.listener.Addr().String()).do("GET", "/v1/metrics", "", nil)
	out := map[string]int{}
	for line := range strings.Lines(string(res.Body)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		n, err := strconv.Atoi(value)
		if err != nil || res.Status != 200 || !res.Close {
			b.t.Fatalf("status = %d, line %q; want 200, a number on each line and a connection that closes", res.Status, line)
		}
		out[name] = n
	}
	return out
}
