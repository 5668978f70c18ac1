package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"linkpass"
	"linkpass/internal/admin"
	"linkpass/internal/adminapi"
	"linkpass/internal/discovery"
	"linkpass/internal/http1"
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

// bench is a whole coordinator between stand-ins.
type bench struct {
	*fleet
	p        *Program
	news     chan os.Signal
	platform *client
	search   *client
	stop     func()
	asked    int
}

func newBench(t *testing.T, cells int, changes ...func(*Config)) *bench {
	t.Setenv("TMPDIR", t.TempDir())
	b := &bench{fleet: newFleet(t), news: make(chan os.Signal)}
	cfg := Config{name: "n0", listen: "127.0.0.1:0", operator: "127.0.0.1:0", discovery: b.addr, seed: 5, memoryMB: 192, sockets: 1024}
	var err error
	if cfg.module, cfg.host, err = settings.ParseJSON([]byte(settingsText)); err != nil {
		t.Fatal(err)
	}
	cfg.known = discovery.Document{Version: 0, Full: true}
	for cell := range cells {
		for _, twin := range []string{"a", "b"} {
			s := b.add(fmt.Sprintf("s-%d%s", cell, twin), cell)
			cfg.known.Servers = append(cfg.known.Servers, s.line("in_service", 0))
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
	go func() { done <- b.p.Serve(term, b.news) }()
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
	<-b.told // the watch goes on from the known list
	return b
}

// query asks in the platform's style.
func (b *bench) query(c *client, class string, timeout time.Duration, shards ...int) (status int, out struct {
	Exact bool
	Rows  []struct {
		ID   int
		Data string
	}
}) {
	b.t.Helper()
	b.asked++
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%f}`, s, 1/float64(len(shards))))
	}
	res := c.ask("POST", "/"+class, `{"parts":[`+strings.Join(parts, ",")+`],"expr":"c41e"}`, map[string][]string{
		"X-Request-Id": {fmt.Sprint("q", b.asked)}, "X-Timeout-Ms": {fmt.Sprint(timeout.Milliseconds())}, "X-Priority-Class": {class}})
	if res.Status == 200 {
		if err := json.Unmarshal(res.Body, &out); err != nil {
			b.t.Fatal(err)
		}
	}
	return res.Status, out
}

type found struct {
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

// find asks in the search style.
func (b *bench) find(index, body string) (status int, out found) {
	b.t.Helper()
	b.asked++
	res := b.search.ask("POST", "/"+index+"/_search", body, nil)
	if err := json.Unmarshal(res.Body, &out); err != nil {
		b.t.Fatalf("%s: %v", res.Body, err)
	}
	return res.Status, out
}

// put changes the settings, once the store has a leader.
func (b *bench) put(patch string) {
	b.t.Helper()
	for {
		res := b.search.ask("PUT", "/_cluster/settings", `{"persistent":`+patch+`}`, nil)
		if res.Status == 200 {
			return
		}
		if res.Status != 503 {
			b.t.Fatalf("%d %s", res.Status, res.Body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// rules holds for every part that ever reached a server: the server holds its
// shard, no part has more attempts than it may, none outlives its query.
func (b *bench) rules() {
	b.t.Helper()
	parts, _ := b.since(0)
	tries := map[string]int{}
	for _, p := range parts {
		if b.servers[p.server].cell != p.shard%3 {
			b.t.Errorf("shard %d went to %s", p.shard, p.server)
		}
		if tries[p.name]++; tries[p.name] > 3 {
			b.t.Errorf("attempt %d of %s", tries[p.name], p.name)
		}
		if p.wait <= 0 || p.wait > 20*time.Second {
			b.t.Errorf("%s waits %v", p.name, p.wait)
		}
	}
	count := b.p.counters
	ended := count.Get("queries_answered") + count.Get("queries_refused") + count.Get("queries_failed")
	if taken := count.Get("queries_taken"); taken != ended || taken == 0 {
		b.t.Errorf("%d queries taken, %d ended", taken, ended)
	}
}

// TestBothStyles mixes plain and search clients with plain and search servers and
// holds every rule over all of it.
func TestBothStyles(t *testing.T) {
	b := newBench(t, 3)
	b.put(`{"servers":{"s-0a":{"protocol":"search"},"s-0b":{"protocol":"search"}}}`)

	// Whole answers, whichever protocol each part came by.
	status, out := b.query(b.platform, "whole", 15*time.Second, 0, 1, 2, 3)
	if status != 200 || !out.Exact || len(out.Rows) != 4 {
		t.Fatalf("%d %+v", status, out)
	}
	for _, row := range out.Rows {
		if plain := row.Data == fmt.Sprint("value-", row.ID); plain != (row.ID%3 != 0) {
			t.Errorf("row %+v", row)
		}
	}
	status, got := b.find("players", `{"query":{"match":{"name":"li"}},"size":3}`)
	if status != 200 || got.Shards.Total != 3 || got.Shards.Successful != 3 || got.TimedOut || got.Hits.Total.Value != 4 ||
		len(got.Hits.Hits) != 3 || got.Hits.Hits[0].Score != 102 || got.Hits.Hits[2].ID != "0-a" {
		t.Fatalf("%d %+v", status, got)
	}
	if res := b.search.ask("GET", "/_cluster/settings", "", nil); res.Status != 200 || !strings.Contains(string(res.Body), `"s-0a":{"protocol":"search"}`) {
		t.Errorf("%d %s", res.Status, res.Body)
	}

	// A slice that the coordinator does not know: its error, and nothing sent.
	_, n := b.since(0)
	if status, got := b.find("lost", ``); status != 404 || got.Error.Type != "shard_not_found_exception" {
		t.Errorf("%d %+v", status, got)
	}
	if sent, _ := b.since(n); len(sent) != 0 {
		t.Errorf("sent %+v", sent)
	}

	// A server goes over to the plain protocol: later parts come in it.
	b.servers["s-0a"].set("plain only")
	b.servers["s-0b"].set("plain only")
	b.put(`{"servers":{"s-0a":{"protocol":"plain"},"s-0b":null}}`)
	_, n = b.since(0)
	if status, got := b.find("players", ``); status != 200 || got.Shards.Successful != 3 || got.Hits.Total.Value != 3 {
		t.Errorf("%d %+v", status, got)
	}
	sent, _ := b.since(n)
	for _, p := range sent {
		if p.protocol != "plain" {
			t.Errorf("part by the old protocol: %+v", p)
		}
	}
	if len(sent) < 3 {
		t.Errorf("sent %+v", sent)
	}

	// Drains: nothing new after the coordinator was told.
	b.tell(b.servers["s-1a"].line("terminating", 0), b.servers["s-2b"].line("terminated", 0))
	_, n = b.since(0)
	for range 5 {
		if status, out := b.query(b.platform, "whole", 15*time.Second, 1, 2, 4); status != 200 || !out.Exact {
			t.Errorf("%d %+v", status, out)
		}
		b.find("players", ``)
	}
	sent, _ = b.since(n)
	for _, p := range sent {
		if p.server == "s-1a" || p.server == "s-2b" {
			t.Errorf("part to a server that drains or is gone: %+v", p)
		}
	}

	// Servers that fail: whichever holders the module tries, the answer is whole or it is
	// none, and says so; it is never a part passed off as the whole.
	for _, mode := range []string{"error", "reset", "full"} {
		b.servers["s-0a"].set(mode)
		if status, out := b.query(b.platform, "whole", 15*time.Second, 0, 3); status == 200 && (!out.Exact || len(out.Rows) != 2) {
			t.Errorf("%s: %d %+v", mode, status, out)
		}
		status, got := b.find("players", ``)
		if whole := got.Shards.Successful == 3 && got.Shards.Failed == 0; (status == 200) != whole || got.Shards.Total != 3 {
			t.Errorf("%s: %d %+v", mode, status, got)
		}
	}

	// No holder of a slice answers. A class that needs all of it gets no answer; one that
	// needs half is answered, told what is missing, and not marked whole.
	b.servers["s-0a"].set("error")
	b.servers["s-0b"].set("error")
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 0, 1); status == 200 {
		t.Error("an answer without a part it needs")
	}
	if status, got := b.find("players", ``); status == 200 || got.Error.Type == "" || got.Shards.Failed == 0 || len(got.Shards.Failures) != got.Shards.Failed {
		t.Errorf("%d %+v", status, got)
	}
	b.rules()
}

func TestPartialAnswersAreNotMarkedWhole(t *testing.T) {
	b := newBench(t, 3)
	b.servers["s-0a"].set("silent")
	b.servers["s-0b"].set("silent")
	// Class "share" needs half: what is in is enough, and what is missing is told.
	status, got := b.find("tables", `{"timeout":"2s"}`)
	if status != 200 || !got.TimedOut || got.Shards.Successful != 1 || got.Shards.Failed != 1 || got.Shards.Failures[0].Shard != 0 {
		t.Errorf("%d %+v", status, got)
	}
	if status, got := b.find("players", `{"timeout":"300ms"}`); status != 504 || !got.TimedOut || got.Shards.Failed == 0 {
		t.Errorf("%d %+v", status, got)
	}
	if status, out := b.query(b.platform, "share", 2*time.Second, 0, 1); status != 200 || out.Exact || len(out.Rows) != 1 {
		t.Errorf("%d %+v", status, out)
	}
	if status, _ := b.query(b.platform, "whole", 300*time.Millisecond, 0, 1); status == 200 {
		t.Error("an answer without a part it needs")
	}
	b.rules()
}

// A server that has just started takes less than its warm twin, from all fronts
// together: without the cold allowance the two would share alike.
func TestColdServerIsSparedByBothFronts(t *testing.T) {
	b := newBench(t, 3)
	for _, s := range b.servers {
		s.delay = 15 * time.Millisecond
	}
	b.tell(b.servers["s-0a"].line("in_service", time.Now().UnixMilli()))
	_, n := b.since(0)
	for range 25 {
		b.query(b.platform, "whole", 15*time.Second, 0)
		b.find("players", `{"size":1}`)
	}
	sent, _ := b.since(n)
	got := map[string]int{}
	for _, p := range sent {
		got[p.server]++
	}
	if got["s-0a"]*2 >= got["s-0b"] {
		t.Errorf("the cold server got %d parts, its warm twin %d", got["s-0a"], got["s-0b"])
	}
	b.rules()
}

func TestClientsThatLeaveAndThePlannedEnd(t *testing.T) {
	b := newBench(t, 3)
	b.servers["s-0a"].set("silent")
	b.servers["s-0b"].set("silent")
	leaving := connect(t, b.p.fronts.listeners[1].Addr().String())
	_, n := b.since(0)
	if err := leaving.nc.Close(); err != nil {
		t.Fatal(err)
	}
	again := connect(t, b.p.fronts.listeners[1].Addr().String())
	body := "POST /players/_search HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	if _, err := again.nc.Write([]byte(body)); err != nil {
		t.Fatal(err)
	}
	for sent := 0; sent < 3; { // its parts are out
		var list []seen
		list, _ = b.since(n)
		sent = len(list)
		time.Sleep(time.Millisecond)
	}
	again.nc.Close()
	for b.p.counters.Get("clients_gone") == 0 {
		time.Sleep(time.Millisecond)
	}
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 1, 2); status != 200 {
		t.Errorf("%d", status)
	}
	slow := connect(t, b.p.admin.bound.listener.Addr().String()) // a caller that never completes its call
	if _, err := slow.nc.Write([]byte("GET /v1")); err != nil {
		t.Fatal(err)
	}
	for b.p.counters.Get("operator_conns") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.stop() // ends, though servers and callers are silent, and leaves nothing unanswered
	b.rules()
	if _, err := b.platform.r.Response(); err == nil {
		t.Error("an idle connection outlived the program")
	}
}

func TestMalformedInputOnThePlatform(t *testing.T) {
	b := newBench(t, 1)
	if _, err := b.platform.nc.Write([]byte("POST /whole HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if res, err := b.platform.r.Response(); err != nil || res.Status != 400 || !res.Close {
		t.Errorf("%+v %v", res, err)
	}
	if n := b.p.counters.Get("platform_malformed"); n != 1 {
		t.Errorf("counted %d", n)
	}
}

// SIGHUP ends nothing: it brings a new configuration, whose address of discovery is
// followed at once; one that can't be read leaves all as it was.
func TestNewConfiguration(t *testing.T) {
	news := NotifySignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if sig := <-news; sig != syscall.SIGHUP {
		t.Errorf("took %v", sig)
	}
	b := newBench(t, 3)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", b.addr) // stays what it was at the start
	asked := make(chan string)
	moved := listenLocal(t, func(nc net.Conn) {
		r := http1.NewReader(nc, 0)
		for {
			req, err := r.Request()
			if err != nil {
				return
			}
			asked <- req.Query
			_ = http1.WriteResponse(nc, &http1.Response{Status: 200, Body: []byte(`{"version":7,"full":false,"servers":[]}`)})
		}
	})
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		b.news <- syscall.SIGHUP
	}
	write("{")
	for b.p.counters.Get("config_invalid") == 0 { // read before the next one is written
		time.Sleep(time.Millisecond)
	}
	write(`{"name":"n0","listen":"127.0.0.1:1","discovery":"` + moved + `","seed":"8c1f","known":{"servers":[]},"settings":` + settingsText + `}`)
	if got := <-asked; got != "" {
		t.Errorf("asked %q of the new address, not the whole list", got)
	}
	if got := <-asked; !strings.HasPrefix(got, "after=7&") {
		t.Errorf("went on with %q", got)
	}
	go func() {
		for range asked {
		}
	}()
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 0, 1, 2); status != 200 {
		t.Errorf("%d", status)
	}
	if b.p.counters.Get("config_invalid") != 1 || b.p.counters.Get("config_reloaded") != 1 {
		t.Error(b.p.counters)
	}
	b.rules()
}

func TestBadConfigurationIsNamed(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","known":{"servers":[]},"settings":` + settingsText + `}`
	env := func(path string) func(string) string {
		return func(name string) string {
			return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:3"}[name]
		}
	}
	c, err := Load(env(write("good", good)))
	if err != nil || c.listen != "127.0.0.1:3" || c.seed != 0x8c1f || c.host.MaxStreams != 32 {
		t.Fatalf("%+v %v", c, err)
	}
	for _, path := range []string{"", filepath.Join(dir, "none"), write("cut", good[:len(good)/2]),
		write("seed", strings.Replace(good, "8c1f", "xyz", 1)), write("discovery", strings.Replace(good, `"discovery"`, `"d"`, 1)),
		write("settings", strings.Replace(good, `"slabs":6`, `"slabs":"x"`, 1)), write("streams", strings.Replace(good, `"max_streams":32`, `"max_streams":0`, 1))} {
		if _, err := Load(env(path)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", path, err)
		}
	}
	for text, ok := range map[string]bool{"listen = ''": true, "listen = ": false, "listen = 5": false, "unheard = 1": false,
		"[store]\nid = 'a'": false, "[indices.players]\nclass = 'c'": false, "[servers.s-1]\nprotocol = 'telnet'": false} {
		if _, err := LoadSearch(write("search.toml", text)); (err == nil) != ok {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := LoadSearch(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a file that is named and missing: %v", err)
	}
	if c, err := LoadSearch("../../" + DefaultSearchFile); err != nil || c.Listen != "" {
		t.Errorf("the file in the repository: %+v %v", c, err)
	}
}

// However few descriptors there are, clients and league servers have theirs apart.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		for fronts := 1; fronts <= 2; fronts++ {
			clients, servers := shareSockets(sockets, fronts)
			if clients*fronts+servers+ownSockets > sockets || fronts == 1 && clients < sockets/4 || servers < sockets/4 {
				t.Errorf("%d descriptors, %d fronts: %d for clients, %d for servers", sockets, fronts, clients, servers)
			}
		}
	}
}

// Where changes are pushed, what the agent has counts as told: it is asked more often than a service for all.
func TestPatienceWithDiscovery(t *testing.T) {
	for asked, want := range map[bool]discovery.Patience{true: discovery.Queued, false: discovery.Pushed(2 * time.Second)} {
		if got := watchPatience(linkpass.Settings{Subscribe: asked, DrainGrace: 2 * time.Second}); got != want {
			t.Errorf("asked for: %v: %+v, want %+v", asked, got, want)
		}
	}
}

// A new version takes the listening socket that the platform holds. The old one stops
// accepting at once, answers all that it accepted, and leaves the socket as it was.
func TestANewVersionTakesOverTheSocket(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	fd := func() int { // as the platform hands it to each process
		f, err := held.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		n, err := syscall.Dup(int(f.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	dir := t.TempDir()
	here := func(c *Config) { t.Setenv("TMPDIR", dir); c.listenFD = fd() }
	old := newBench(t, 3, here)
	kept := connect(t, held.Addr().String())
	if status, _ := old.query(kept, "whole", 15*time.Second, 0); status != 200 {
		t.Fatal(status)
	}
	old.servers["s-0a"].set("wait")
	old.servers["s-0b"].set("wait")
	answered := make(chan int)
	go func() { status, _ := old.query(kept, "whole", 15*time.Second, 0); answered <- status }()
	for n := 0; n < 2; _, n = old.since(0) {
		time.Sleep(time.Millisecond)
	}
	young := newBench(t, 3, here)
	for !young.p.readiness.Ready() {
		time.Sleep(time.Millisecond)
	}
	if n := young.p.counters.Get("probes_served"); n < 6 {
		t.Errorf("says yes having heard of %d servers", n)
	}
	limits := func(p *Program) (processes, clients, room int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.share.Processes, p.fronts.maxConns, p.share.MaxOpen
	}
	for _, p := range []*Program{old.p, young.p} { // each keeps to its half
		n, clients, room := limits(p)
		if most, _ := shareSockets(p.cfg.sockets/2, 2); n != 2 || clients != most || room != p.cfg.module.MaxOpen/2 {
			t.Errorf("%d processes, %d clients, room for %d", n, clients, room)
		}
	}
	if young.p.cfg.seed == old.p.cfg.seed {
		t.Error("two processes of one seed")
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); old.stop() }()
	for !errors.Is(old.p.fronts.listeners[0].(*net.TCPListener).SetDeadline(time.Time{}), net.ErrClosed) {
		time.Sleep(time.Millisecond)
	}
	next := connect(t, held.Addr().String())
	if status, _ := young.query(next, "whole", 15*time.Second, 0); status != 200 {
		t.Error(status)
	}
	old.servers["s-0a"].set("go")
	old.servers["s-0b"].set("go")
	if status := <-answered; status != 200 {
		t.Errorf("what the old process had taken ended with %d", status)
	}
	<-stopped
	for n, open := 0, 0; n != 1 || open != young.p.cfg.module.MaxOpen; n, _, open = limits(young.p) { // alone: all of it
		time.Sleep(time.Millisecond)
	}
	if status, _ := young.query(connect(t, held.Addr().String()), "whole", 15*time.Second, 1); status != 200 {
		t.Error(status)
	}
	for young.search == nil { // the search front comes up once the old process has gone
		young.p.mu.Lock()
		if len(young.p.fronts.listeners) > 1 {
			young.search = connect(t, young.p.fronts.listeners[1].Addr().String())
		}
		young.p.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	if status, got := young.find("players", ""); status != 200 || got.Shards.Successful != 3 {
		t.Errorf("%d %+v", status, got)
	}
	old.rules()
	young.rules()
}

// figures asks for the figures at the door.
func (b *bench) figures() map[string]int {
	b.t.Helper()
	res := connect(b.t, b.p.admin.bound.listener.Addr().String()).ask("GET", "/v1/metrics", "", nil)
	out := map[string]int{}
	for line := range strings.Lines(string(res.Body)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		n, err := strconv.Atoi(value)
		if err != nil || res.Status != 200 || !res.Close {
			b.t.Fatalf("%d %q", res.Status, line)
		}
		out[name] = n
	}
	return out
}

// The figures hold what crossed the sockets: every answer that a client read, every
// attempt that reached a server, once each and by class.
func TestFiguresAreWhatCrossedTheSockets(t *testing.T) {
	b := newBench(t, 3)
	want := map[string]int{"app.league_servers_known": 6, "app.league_servers_excluded": 0, "app.in_flight": 0, "app.attempts": 0}
	for _, class := range []string{"whole", "share"} {
		for _, end := range []string{"served", "refused", "failed"} {
			want["app."+end+"."+class] = 0
		}
	}
	hold := func(when string) {
		t.Helper()
		sent, _ := b.since(0)
		want["app.attempts"] = len(sent)
		for got := b.figures(); !maps.Equal(got, want); got = b.figures() { // servers known and avoided may lag
			for name, n := range got {
				if !strings.HasPrefix(name, "app.league_servers") && n != want[name] || len(got) != len(want) {
					t.Fatalf("%s: %s=%d of %v, want %v", when, name, n, got, want)
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	count := func(class string, status int) {
		want["app."+map[int]string{200: "served", 503: "refused"}[status]+"."+class]++
	}
	hold("at the start")
	for i := range 12 {
		class := []string{"whole", "share"}[i%2]
		if i == 6 { // from here on some are refused: a slice has no holder that can
			b.servers["s-0a"].set("full")
			b.servers["s-0b"].set("full")
		}
		status, _ := b.query(b.platform, class, 15*time.Second, 0, 1)
		count(class, status)
	}
	if want["app.refused.whole"] == 0 || want["app.served.share"] == 0 {
		t.Errorf("the mix is none: %v", want)
	}
	hold("after a mix")
	b.servers["s-1a"].set("wait")
	b.servers["s-1b"].set("wait")
	done := make(chan int)
	_, n := b.since(0)
	go func() { status, _ := b.query(b.platform, "whole", 15*time.Second, 1); done <- status }()
	for now := n; now == n; _, now = b.since(0) {
		time.Sleep(time.Millisecond)
	}
	if got := b.figures()["app.in_flight"]; got != 1 {
		t.Errorf("in flight %d", got)
	}
	b.servers["s-1a"].set("")
	b.servers["s-1b"].set("")
	count("whole", <-done)
	b.tell(b.servers["s-1a"].line("terminating", 0), b.servers["s-2b"].line("terminated", 0))
	want["app.league_servers_known"], want["app.league_servers_excluded"] = 5, 1
	hold("after a drain")
}

// A start that fails gives back what it had taken, and says why: it used to end in a panic.
func TestAStartThatFailsLeavesNothing(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	t.Setenv("TMPDIR", t.TempDir())
	cfg := Config{name: "n0", listen: "127.0.0.1:0", operator: taken.Addr().String(), discovery: "127.0.0.1:1", seed: 5, memoryMB: 192, sockets: 1024}
	if cfg.module, cfg.host, err = settings.ParseJSON([]byte(settingsText)); err != nil {
		t.Fatal(err)
	}
	if p, err := Start(cfg); err == nil || p != nil || !strings.Contains(err.Error(), "admin: listen") {
		t.Fatalf("started on a taken address: %v", err)
	}
	cfg.operator = ""
	p, err := Start(cfg) // the handover's place was given back
	if err != nil {
		t.Fatal(err)
	}
	if p.isSuccessor() {
		t.Error("the failed start still counts as a process")
	}
	term, stop := context.WithCancel(context.Background())
	stop()
	if err := p.Serve(term, nil); err != nil {
		t.Error(err)
	}
}

// Large searches go through files to servers of both protocols, are repeated from there, and leave nothing
// behind, not even at a SIGTERM with one under way.
func TestLargeSearchesThroughFiles(t *testing.T) {
	dir := t.TempDir()
	b := newBench(t, 3, func(c *Config) {
		c.Search.Bodies = BodyConfig{MemoryKiB: 64, LargestKiB: 8, FilesKiB: 4096, Dir: dir}
		c.Search.Servers = map[string]searchconfig.Server{"s-0a": {Protocol: "search"}, "s-0b": {Protocol: "search"}}
	})
	query := `{"terms":{"id":["` + strings.Repeat("x", 40_000) + `"]}}`
	b.servers["s-0a"].set("error")
	b.servers["s-1a"].set("error")
	b.servers["s-2a"].set("error")
	n := 0
	for range 8 { // each of the two holders of a slice is met first at some time
		res := b.search.ask("POST", "/players/_search", `{"query":`+query+`}`, nil)
		if res.Status != 200 || !strings.Contains(string(res.Body), `"failed":0`) {
			t.Fatalf("%d %s", res.Status, res.Body)
		}
		var parts []seen
		parts, n = b.since(n)
		for _, p := range parts {
			if want := `{"from":0,"query":` + query + `,"size":10}`; p.text != want {
				t.Fatalf("%s got %d bytes, want %d", p.server, len(p.text), len(want))
			}
		}
	}
	if b.p.counters.Get("retries_won_whole") == 0 || b.p.counters.Get("bodies_moved_file_too_large_whole") == 0 {
		t.Errorf("no retry from a file: %s", b.p.counters)
	}
	for _, s := range b.servers {
		s.set("wait")
	}
	go func() { // under way at the end
		nc, err := net.Dial("tcp", b.p.fronts.listeners[1].Addr().String())
		if err == nil {
			defer nc.Close()
			_ = http1.WriteRequest(nc, "POST", "/players/_search?timeout=300ms", "x", nil, []byte(`{"query":`+query+`}`))
			_, _ = http1.NewReader(nc, 0).Response()
		}
	}()
	for b.p.bodies.store.Figures().Bodies == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, s := range b.servers {
		s.set("")
	}
	b.stop()
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 0 {
		t.Errorf("left behind: %v", left)
	}
}

// Budgets that do not add up are refused by name.
func TestBodyBudgets(t *testing.T) {
	classes := []string{"whole", "share"}
	for text, b := range map[string]BodyConfig{"more than half": {MemoryKiB: 20 << 10}, "no such class": {Classes: map[string]BodyClassConfig{"x": {}}},
		"floors add up": {Classes: map[string]BodyClassConfig{"whole": {FloorKiB: 3 << 10}, "share": {FloorKiB: 3 << 10}}}} {
		if _, err := b.limits(32, classes); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if l, err := (BodyConfig{}).limits(32, classes); err != nil || l.Memory != 4<<20 || l.Files != 0 {
		t.Errorf("the default in 32 MB: %+v %v", l, err)
	}
	for _, bad := range []BodyConfig{{FilesKiB: 5}, {Dir: "x"}, {MemoryKiB: 5, Classes: map[string]BodyClassConfig{"a": {FloorKiB: 6}}}} {
		if bad.check() == nil {
			t.Errorf("took %+v", bad)
		}
	}
}

// A socket's file that a crash left is replaced; one that somebody listens on is not, and nor is what is no socket.
func TestASocketLeftByACrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "linkpass.sock")
	first, err := listenSocket(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", info, err)
	}
	if _, err := listenSocket(path); err == nil || !strings.Contains(err.Error(), "another process listens") {
		t.Errorf("beside one that listens: %v", err)
	}
	first.(*net.UnixListener).SetUnlinkOnClose(false) // as a crash would
	first.Close()
	second, err := listenSocket(path)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	if err := os.MkdirAll(filepath.Join(path, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := listenSocket(path); err == nil {
		t.Error("a directory was taken for a socket")
	}
}

// Slow callers that hold every place of the door keep nobody out of the operators' API, nor for long out of the door.
func TestStatusBesideAFloodedDoor(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "api.sock")
	b := newBench(t, 3, func(c *Config) { c.operator, c.Search.Operator.Socket = "127.0.0.1:0", socket })
	for range 3 * admin.MaxConns {
		nc, err := net.Dial("tcp", b.p.admin.bound.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, "GET /v1/rea") // those that had to make room already can't
	}
	if s, err := (&adminapi.Client{Socket: socket, Limit: 10 * time.Second}).Status(); err != nil || s.State != "serving" {
		t.Errorf("%+v %v", s, err)
	}
	// A caller that has begun keeps its place for a second; then it gives way.
	for connect(t, b.p.admin.bound.listener.Addr().String()).ask("GET", "/v1/readyz", "", nil).Status != 200 {
		time.Sleep(10 * time.Millisecond)
	}
}
