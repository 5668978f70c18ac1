package daemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"linkpass/internal/settings"
)

// A start that fails returns the cause and releases what it has acquired. It must not end in a panic, as it once did.
func TestStartReleasesAllOnFailure(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	t.Setenv("TMPDIR", t.TempDir())
	cfg := Config{name: "n0", listen: "127.0.0.1:0", adminListen: taken.Addr().String(), discovery: "127.0.0.1:1", seed: 5, memoryMB: 192, sockets: 1024}
	if cfg.routingSettings, cfg.programSettings, err = settings.ParseJSON([]byte(settingsText)); err != nil {
		t.Fatal(err)
	}
	if p, err := Start(cfg); err == nil || p != nil || !strings.Contains(err.Error(), "admin: listen") {
		t.Fatalf("start with an address in use: error %v, want that of the component admin", err)
	}
	cfg.adminListen = ""
	p, err := Start(cfg) // the failed start has left the handover group
	if err != nil {
		t.Fatal(err)
	}
	if p.isSuccessor() {
		t.Error("the second start is a successor: the failed one still counts as a process")
	}
	term, stop := context.WithCancel(context.Background())
	stop()
	if err := p.Serve(term, nil); err != nil {
		t.Error(err)
	}
}

// TestPlainAndSearchProtocolsTogether mixes clients and servers of both protocols, and checks the invariants over all
// of their traffic.
func TestPlainAndSearchProtocolsTogether(t *testing.T) {
	b := newTestbed(t, 3)
	b.putSettings(`{"servers":{"s-0a":{"protocol":"search"},"s-0b":{"protocol":"search"}}}`)

	// The answers are complete, whichever protocol each part was sent by.
	status, out := b.query(b.platform, "whole", 15*time.Second, 0, 1, 2, 3)
	if status != 200 || !out.Exact || len(out.Rows) != 4 {
		t.Fatalf("query: status = %d, response %+v; want a complete answer with 4 rows", status, out)
	}
	for _, row := range out.Rows {
		if plain := row.Data == fmt.Sprint("value-", row.ID); plain != (row.ID%3 != 0) {
			t.Errorf("row %+v; want value-ID from shards 1 and 2, which the plain protocol serves, and from no other", row)
		}
	}
	status, got := b.searchIndex("players", `{"query":{"match":{"name":"li"}},"size":3}`)
	if status != 200 || got.Shards.Total != 3 || got.Shards.Successful != 3 || got.TimedOut || got.Hits.Total.Value != 4 ||
		len(got.Hits.Hits) != 3 || got.Hits.Hits[0].Score != 102 || got.Hits.Hits[2].ID != "0-a" {
		t.Fatalf("search: status = %d, response %+v; want a complete answer of 3 shards", status, got)
	}
	if res := b.search.do("GET", "/_cluster/settings", "", nil); res.Status != 200 || !strings.Contains(string(res.Body), `"s-0a":{"protocol":"search"}`) {
		t.Errorf("settings: status = %d, body %s; want 200 with s-0a's protocol", res.Status, res.Body)
	}

	// A shard that the coordinator does not know gives its error, and no part is sent.
	_, n := b.partsSince(0)
	if status, got := b.searchIndex("lost", ``); status != 404 || got.Error.Type != "shard_not_found_exception" {
		t.Errorf("unknown shard: status = %d, response %+v; want 404, shard_not_found_exception", status, got)
	}
	if sent, _ := b.partsSince(n); len(sent) != 0 {
		t.Errorf("unknown shard: parts sent %+v, want none", sent)
	}

	// A server changes to the plain protocol: later parts are sent in it.
	b.servers["s-0a"].setMode("plain only")
	b.servers["s-0b"].setMode("plain only")
	b.putSettings(`{"servers":{"s-0a":{"protocol":"plain"},"s-0b":null}}`)
	_, n = b.partsSince(0)
	if status, got := b.searchIndex("players", ``); status != 200 || got.Shards.Successful != 3 || got.Hits.Total.Value != 3 {
		t.Errorf("after the change of protocol: status = %d, response %+v; want 200 with 3 shards and 3 hits", status, got)
	}
	sent, _ := b.partsSince(n)
	for _, p := range sent {
		if p.protocol != "plain" {
			t.Errorf("part sent by the old protocol: %+v", p)
		}
	}
	if len(sent) < 3 {
		t.Errorf("parts sent %+v, want at least 3", sent)
	}

	// A server that drains or is removed gets no part once the coordinator is notified.
	b.updateList(b.servers["s-1a"].entry("terminating", 0), b.servers["s-2b"].entry("terminated", 0))
	_, n = b.partsSince(0)
	for range 5 {
		if status, out := b.query(b.platform, "whole", 15*time.Second, 1, 2, 4); status != 200 || !out.Exact {
			t.Errorf("query while a server drains: status = %d, response %+v; want a complete answer", status, out)
		}
		b.searchIndex("players", ``)
	}
	sent, _ = b.partsSince(n)
	for _, p := range sent {
		if p.server == "s-1a" || p.server == "s-2b" {
			t.Errorf("part sent to a server that drains or is removed: %+v", p)
		}
	}

	// When a server fails, the answer is complete or an error, whichever replicas are tried. A partial answer is never
	// marked as complete.
	for _, mode := range []string{"error", "reset", "full"} {
		b.servers["s-0a"].setMode(mode)
		if status, out := b.query(b.platform, "whole", 15*time.Second, 0, 3); status == 200 && (!out.Exact || len(out.Rows) != 2) {
			t.Errorf("server in mode %s: query: status = %d, response %+v; want a complete answer or an error", mode, status, out)
		}
		status, got := b.searchIndex("players", ``)
		if whole := got.Shards.Successful == 3 && got.Shards.Failed == 0; (status == 200) != whole || got.Shards.Total != 3 {
			t.Errorf("server in mode %s: search: status = %d, response %+v; want a complete answer or an error", mode, status, got)
		}
	}

	// No replica of a shard answers. A class that needs all shards gets no answer. One that needs half gets an answer
	// that reports what is missing and is not marked as complete.
	b.servers["s-0a"].setMode("error")
	b.servers["s-0b"].setMode("error")
	if status, _ := b.query(b.platform, "whole", 15*time.Second, 0, 1); status == 200 {
		t.Error("query without a required shard: status = 200, want an error")
	}
	if status, got := b.searchIndex("players", ``); status == 200 || got.Error.Type == "" || got.Shards.Failed == 0 || len(got.Shards.Failures) != got.Shards.Failed {
		t.Errorf("search without a required shard: status = %d, response %+v; want an error with the failures", status, got)
	}
	b.checkInvariants()
}

func TestPartialAnswersAreNotMarkedComplete(t *testing.T) {
	b := newTestbed(t, 3)
	b.servers["s-0a"].setMode("silent")
	b.servers["s-0b"].setMode("silent")
	// Class "share" needs half of the shards: the parts that have arrived are enough, and the missing ones are
	// reported.
	status, got := b.searchIndex("tables", `{"timeout":"2s"}`)
	if status != 200 || !got.TimedOut || got.Shards.Successful != 1 || got.Shards.Failed != 1 || got.Shards.Failures[0].Shard != 0 {
		t.Errorf("search of class share: status = %d, response %+v; want 200, timed out, without shard 0", status, got)
	}
	if status, got := b.searchIndex("players", `{"timeout":"300ms"}`); status != 504 || !got.TimedOut || got.Shards.Failed == 0 {
		t.Errorf("search of class whole: status = %d, response %+v; want 504, timed out, with failed shards", status, got)
	}
	if status, out := b.query(b.platform, "share", 2*time.Second, 0, 1); status != 200 || out.Exact || len(out.Rows) != 1 {
		t.Errorf("query of class share: status = %d, response %+v; want 200 with 1 row, not exact", status, out)
	}
	if status, _ := b.query(b.platform, "whole", 300*time.Millisecond, 0, 1); status == 200 {
		t.Error("query without a required shard: status = 200, want an error")
	}
	b.checkInvariants()
}

// A server that has just started gets fewer parts from both fronts together than the warm replica of its shard. Without
// slow start both would get the same.
func TestWarmingServerGetsLessFromBothFronts(t *testing.T) {
	b := newTestbed(t, 3)
	for _, s := range b.servers {
		s.delay = 15 * time.Millisecond
	}
	b.updateList(b.servers["s-0a"].entry("in_service", time.Now().UnixMilli()))
	_, n := b.partsSince(0)
	for range 25 {
		b.query(b.platform, "whole", 15*time.Second, 0)
		b.searchIndex("players", `{"size":1}`)
	}
	sent, _ := b.partsSince(n)
	got := map[string]int{}
	for _, p := range sent {
		got[p.server]++
	}
	if got["s-0a"]*2 >= got["s-0b"] {
		t.Errorf("the cold server got %d parts, want less than half of the warm replica's %d", got["s-0a"], got["s-0b"])
	}
	b.checkInvariants()
}
