package emulator_test

import (
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/shardmap"
)

// Guards against the loss of shards by a stale leader's request: one that is older than an accepted one is refused,
// changes nothing and is counted, also an empty one, one that leaves an index out, and after a restart of the server.
func TestStaleAssignmentChangesNothing(t *testing.T) {
	fleet, shardMap := startFleet(t, 240)
	server := fleet.Server("s-01")
	shard := shardMap.Shards()[0]
	url := "http://" + server.Addr() + "/_layout"
	request := func(duties, order string) string { return fmt.Sprintf(`{"duties":%s%s}`, duties, order) }
	task := fmt.Sprintf(`{"slice":%d,"range":%q,"sources":[]}`, shard.ID, shard.Range)
	assigned := fmt.Sprintf(`[{"index":%q,"version":9,"tasks":[%s]}]`, testIndex, task)
	order := func(term, revision int) string {
		return fmt.Sprintf(`,"order":{"term":%d,"revision":%d}`, term, revision)
	}
	requireHeld := func(when string) {
		t.Helper()
		got := searchRange(t, server, fmt.Sprint(shard.ID), shardmap.FullRange.String())
		if got.status != 200 {
			t.Fatalf("search %s: status = %d, body = %s; want 200, the shard must still be held", when, got.status, got.body)
		}
	}
	send := func(body string, want int) {
		t.Helper()
		if got := sendRequest(t, "PUT", url, body); got.status != want {
			t.Fatalf("%s: status = %d, body = %s; want status %d", body, got.status, got.body, want)
		}
	}
	requireHeld("before any assignment")
	send(request(assigned, order(3, 7)), 200)
	send(request(assigned, order(3, 7)), 200) // a poll is repeated with the same order
	stale := []string{
		request("null", order(2, 90)),                                  // an empty one of an earlier term
		request("[]", order(3, 6)),                                     // an empty one of an earlier revision
		request(`[{"index":"other"}]`, order(2, 90)),                   // one that leaves the index out
		request(`[{"index":"players"}]`, ""),                           // one of a sender that knows no orders
		request(strings.Replace(assigned, "9", "99", 1), order(2, 91)), // one with a later version of the shard map
	}
	for _, body := range stale {
		send(body, 412)
		requireHeld("after " + body)
	}
	server.Kill(false)
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	send(stale[0], 412)
	requireHeld("after the restart")
	if got, want := server.StaleOrders.Load(), int64(len(stale)+1); got != want {
		t.Errorf("StaleOrders = %d, want %d", got, want)
	}
	send(request("[]", order(4, 1)), 200) // the leader of a later term may have the shard dropped
}
