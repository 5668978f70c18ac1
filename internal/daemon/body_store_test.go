package daemon

import (
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
)

// Bodies of large searches go through files to servers of both protocols, are read again for a retry, and leave no
// file behind, not even at a SIGTERM with one in flight.
func TestLargeSearchBodiesInFiles(t *testing.T) {
	dir := t.TempDir()
	b := newBench(t, 3, func(c *Config) {
		c.Search.Bodies = BodyConfig{MemoryKiB: 64, LargestKiB: 8, FilesKiB: 4096, Dir: dir}
		c.Search.Servers = map[string]searchconfig.Server{"s-0a": {Protocol: "search"}, "s-0b": {Protocol: "search"}}
	})
	query := `{"terms":{"id":["` + strings.Repeat("x", 40_000) + `"]}}`
	b.servers["s-0a"].setMode("error")
	b.servers["s-1a"].setMode("error")
	b.servers["s-2a"].setMode("error")
	n := 0
	for range 8 { // each of the two replicas of a shard is tried first at some time
		res := b.search.do("POST", "/players/_search", `{"query":`+query+`}`, nil)
		if res.Status != 200 || !strings.Contains(string(res.Body), `"failed":0`) {
			t.Fatalf("%d %s", res.Status, res.Body)
		}
		var parts []receivedPart
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
		s.setMode("wait")
	}
	go func() { // in flight at the shutdown
		nc, err := net.Dial("tcp", b.p.fronts.listeners[1].Addr().String())
		if err == nil {
			defer nc.Close()
			_ = http1.WriteRequest(nc, "POST", "/players/_search?timeout=300ms", "x", nil, []byte(`{"query":`+query+`}`))
			_, _ = http1.NewReader(nc, 0).Response()
		}
	}()
	for b.p.bodies.store.Totals().Bodies == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, s := range b.servers {
		s.setMode("")
	}
	b.stop()
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 0 {
		t.Errorf("left behind: %v", left)
	}
}

// Budgets that do not add up are rejected, with the key that is wrong.
func TestBodyConfigLimits(t *testing.T) {
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
