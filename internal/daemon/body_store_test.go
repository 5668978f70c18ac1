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

// Bodies of large searches go through files to servers of both protocols, are read again for a retry, and leave no file
// behind, even if the program stops with one in flight.
func TestLargeSearchBodiesInFiles(t *testing.T) {
	dir := t.TempDir()
	b := newTestbed(t, 3, func(c *Config) {
		c.Search.Bodies = BodyConfig{MemoryKiB: 64, LargestKiB: 8, FilesKiB: 4096, Dir: dir}
		c.Search.Servers = map[string]searchconfig.Server{"s-0a": {Protocol: "search"}, "s-0b": {Protocol: "search"}}
	})
	query := `{"terms":{"id":["` + strings.Repeat("x", 40_000) + `"]}}`
	for _, server := range []string{"s-0a", "s-1a", "s-2a"} {
		b.servers[server].setMode("error")
	}
	n := 0
	for range 8 { // each of the two replicas of a shard is tried first at some time
		n = testLargeSearch(t, b, query, n)
	}
	if b.p.counters.Get("retries_won_whole") == 0 || b.p.counters.Get("bodies_moved_file_too_large_whole") == 0 {
		t.Errorf("no retry of a body from a file; counters %s", b.p.counters)
	}
	for _, s := range b.servers {
		s.setMode("wait")
	}
	go sendSearch(b.p.fronts.listeners[1].Addr().String(), query) // in flight at the shutdown
	for b.p.bodies.store.Totals().Bodies == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, s := range b.servers {
		s.setMode("")
	}
	b.stop()
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 0 {
		t.Errorf("files left behind: %v, want none", left)
	}
}

// testLargeSearch sends a search, and checks its answer and the body in every part received after the first n. It
// returns the number of parts received by then.
func testLargeSearch(t *testing.T, b *testbed, query string, n int) int {
	t.Helper()
	res := b.search.do("POST", "/players/_search", `{"query":`+query+`}`, nil)
	if res.Status != 200 || !strings.Contains(string(res.Body), `"failed":0`) {
		t.Fatalf("status = %d, body %s; want 200 with no failed shard", res.Status, res.Body)
	}
	parts, n := b.partsSince(n)
	for _, p := range parts {
		if want := `{"from":0,"query":` + query + `,"size":10}`; p.text != want {
			t.Fatalf("%s received a body of %d bytes, which differs from the %d bytes wanted", p.server, len(p.text), len(want))
		}
	}
	return n
}

// sendSearch sends a search, and returns once it is answered or its connection has ended.
func sendSearch(address, query string) {
	nc, err := net.Dial("tcp", address)
	if err == nil {
		defer nc.Close()
		_ = http1.WriteRequest(nc, "POST", "/players/_search?timeout=300ms", "x", nil, []byte(`{"query":`+query+`}`))
		_, _ = http1.NewReader(nc, 0).Response()
	}
}

func TestBodyConfigLimitsDefaults(t *testing.T) {
	if l, err := (BodyConfig{}).limits(32, []string{"whole", "share"}); err != nil || l.Memory != 4<<20 || l.Files != 0 {
		t.Errorf("limits in 32 MB = %+v, error %v; want 4 MiB of memory and no files", l, err)
	}
}

// Limits that contradict each other are rejected, and the error says which.
func TestBodyConfigLimitsRejectsContradictions(t *testing.T) {
	for text, b := range map[string]BodyConfig{
		"more than half": {MemoryKiB: 20 << 10},
		"no such class":  {Classes: map[string]BodyClassConfig{"x": {}}},
		"floors add up": {Classes: map[string]BodyClassConfig{
			"whole": {GuaranteedKiB: 3 << 10}, "share": {GuaranteedKiB: 3 << 10}}},
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := b.limits(32, []string{"whole", "share"}); err == nil || !strings.Contains(err.Error(), text) {
				t.Errorf("contradiction %q: error %v, want one with that text", text, err)
			}
		})
	}
}

func TestBodyConfigCheckRejectsContradictions(t *testing.T) {
	for name, c := range map[string]BodyConfig{
		"files without dir":            {FilesKiB: 5},
		"dir without files":            {Dir: "x"},
		"guarantees exceed the memory": {MemoryKiB: 5, Classes: map[string]BodyClassConfig{"a": {GuaranteedKiB: 6}}},
	} {
		t.Run(name, func(t *testing.T) {
			if c.check() == nil {
				t.Errorf("%+v was accepted, want an error", c)
			}
		})
	}
}
