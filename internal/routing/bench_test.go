package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchSizes are fleets as one front node sees them: servers stand in sets of three replicas, each set holds two shards.
// Three coordinators have 15 servers (the sites' 12 to 16), 300 have 201 (the full test's 200), and 80 have 54, as many
// for each coordinator as 300 have.
var benchSizes = []struct{ coordinators, servers int }{{3, 15}, {80, 54}, {300, 201}}

// benchParts is how many parts a query has: the same at every size, so that figures for a part compare.
const benchParts = 10

// BenchmarkQuery plays queries one after another through a router: arrival, race of probes, attempts, answer. One
// operation is a query of ten parts; ns/part and allocs/part are a tenth of it.
func BenchmarkQuery(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("coordinators=%d/servers=%d", size.coordinators, size.servers), func(b *testing.B) {
			h := newBenchHost(b, size.coordinators, size.servers)
			for range 1000 { // the windows of latencies fill up
				h.query()
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.ReportAllocs()
			for b.Loop() {
				h.query()
			}
			runtime.ReadMemStats(&after)
			parts := float64(b.N) * benchParts
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/parts, "ns/part")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/parts, "allocs/part")
		})
	}
}

// benchHost carries out a router's actions: each probe and attempt ends well by the next turn.
type benchHost struct {
	b      *testing.B
	r      *Router
	now    time.Duration
	shards int
	next   RequestID
	number uint64
	events []Event
	alarms []benchAlarm
}

type benchAlarm struct {
	at    time.Duration
	token uint64
}

func newBenchHost(b *testing.B, coordinators, servers int) *benchHost {
	b.Helper()
	set := settings()
	cells := servers / 3
	set.Coordinators, set.Cells, set.ReplicasPerShard, set.Shards = coordinators, cells, 1, 2*cells
	set.MaxOpen = 5000
	// Shards go round the cells, so each cell holds two of them.
	r, err := New(set, 7)
	if err != nil {
		b.Fatal(err)
	}
	h := &benchHost{b: b, r: r, now: time.Minute, shards: set.Shards, next: 1}
	var entries []Endpoint
	for i := range servers {
		entries = append(entries, Endpoint{Server: ServerID(i + 1), Cell: i % cells, State: Ready})
	}
	h.events = append(h.events, EndpointUpdate{Mode: UpdateFull, Endpoints: entries})
	return h
}

// query plays one query to its answer.
func (h *benchHost) query() {
	h.number++
	id := h.next
	h.next += 1 + benchParts
	h.events = append(h.events, Arrival{ID: id, Shard: -1, Timeout: 5 * time.Second, QueryNumber: h.number, Weight: benchParts})
	for i := range RequestID(benchParts) {
		h.events = append(h.events, Arrival{ID: id + 1 + i, Shard: int(h.number+uint64(i)) % h.shards, Timeout: 5 * time.Second,
			QueryNumber: h.number, Weight: 1. / benchParts})
	}
	for range 100 {
		if h.turn(id) {
			return
		}
	}
	h.b.Fatalf("query %d has no answer", h.number)
}

// turn plays one turn and tells whether it answered the query.
func (h *benchHost) turn(query RequestID) (answered bool) {
	h.now += 5 * ms
	waiting := h.alarms[:0]
	for _, a := range h.alarms {
		if a.at <= h.now {
			h.events = append(h.events, TimerFired{Token: a.token})
		} else {
			waiting = append(waiting, a)
		}
	}
	h.alarms = waiting
	actions := h.r.Turn(h.now, h.events)
	h.events = h.events[:0]
	for _, action := range actions {
		switch a := action.(type) {
		case HealthCheck:
			h.events = append(h.events, HealthCheckResult{Server: a.Server, Code: OK, Latency: 2 * ms, LoadReport: []float64{0.5, float64(a.Server % 4)}})
		case Send:
			h.events = append(h.events, AttemptResult{ID: a.ID, Server: a.Server, Code: OK, Latency: 5 * ms})
		case SetTimer:
			h.alarms = append(h.alarms, benchAlarm{h.now + a.After, a.Token})
		case Answer:
			if a.ID != query || !a.Complete {
				h.b.Fatalf("%+v in place of query %d's whole answer", a, query)
			}
			answered = true
		case Reject, Fail:
			h.b.Fatalf("query %d: %T%+v", h.number, a, a)
		}
	}
	return answered
}
