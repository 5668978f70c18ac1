package daemon

import (
	"maps"
	"strings"
	"testing"
	"time"
)

// The totals count the traffic on the sockets, each answer that a client reads and each attempt that reaches a server
// once, and the answers by class.
func TestTotalsMatchTraffic(t *testing.T) {
	b := newTestbed(t, 3)
	want := map[string]int{"app.league_servers_known": 6, "app.league_servers_excluded": 0, "app.in_flight": 0, "app.attempts": 0}
	for _, class := range []string{"whole", "share"} {
		for _, end := range []string{"served", "refused", "failed"} {
			want["app."+end+"."+class] = 0
		}
	}
	checkTotals := func(when string) {
		t.Helper()
		sent, _ := b.partsSince(0)
		want["app.attempts"] = len(sent)
		for got := b.metrics(); !maps.Equal(got, want); got = b.metrics() { // servers known and excluded may lag
			for name, n := range got {
				if !strings.HasPrefix(name, "app.league_servers") && n != want[name] || len(got) != len(want) {
					t.Fatalf("%s: %s = %d in %v, want %v", when, name, n, got, want)
				}
			}
			time.Sleep(time.Millisecond)
		}
	}
	count := func(class string, status int) {
		want["app."+map[int]string{200: "served", 503: "refused"}[status]+"."+class]++
	}
	checkTotals("at the start")
	for i := range 12 {
		class := []string{"whole", "share"}[i%2]
		if i == 6 { // from here on some queries are rejected, because no replica of a shard has capacity
			b.servers["s-0a"].setMode("full")
			b.servers["s-0b"].setMode("full")
		}
		status, _ := b.query(b.platform, class, 15*time.Second, 0, 1)
		count(class, status)
	}
	if want["app.refused.whole"] == 0 || want["app.served.share"] == 0 {
		t.Errorf("totals %v, want served and rejected queries", want)
	}
	checkTotals("after a mix")
	b.servers["s-1a"].setMode("wait")
	b.servers["s-1b"].setMode("wait")
	done := make(chan int)
	_, n := b.partsSince(0)
	go func() { status, _ := b.query(b.platform, "whole", 15*time.Second, 1); done <- status }()
	for now := n; now == n; _, now = b.partsSince(0) {
		time.Sleep(time.Millisecond)
	}
	if got := b.metrics()["app.in_flight"]; got != 1 {
		t.Errorf("app.in_flight = %d, want 1", got)
	}
	b.servers["s-1a"].setMode("")
	b.servers["s-1b"].setMode("")
	count("whole", <-done)
	b.updateList(b.servers["s-1a"].entry("terminating", 0), b.servers["s-2b"].entry("terminated", 0))
	want["app.league_servers_known"], want["app.league_servers_excluded"] = 5, 1
	checkTotals("after a drain")
}
