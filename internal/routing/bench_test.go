package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchSizes are the fleet sizes, as one coordinator sees them: three servers and two shards per cell.
var benchSizes = []struct{ coordinators, servers int }{{3, 15}, {80, 54}, {300, 201}}

// benchParts is the number of parts per query at every fleet size.
const benchParts = 10

// BenchmarkQuery runs queries one after another. One operation is a query of benchParts parts.
func BenchmarkQuery(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("coordinators=%d/servers=%d", size.coordinators, size.servers), func(b *testing.B) {
			h := newBenchHost(b, size.coordinators, size.servers)
			for range 1000 { // fills the latency windows
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

// benchHost carries out a router's actions: each health check and attempt succeeds in the next turn.
type benchHost struct {
	b      *testing.B
	router *Router
	now    time.Duration
	shards int
	next   RequestID
	number uint64
	events []Event
	timers []benchTimer
}

type benchTimer struct {
	at    time.Duration
	token uint64
}

func newBenchHost(b *testing.B, coordinators, servers int) *benchHost {
	b.Helper()
	settings := testSettings()
	cells := servers / 3
	settings.Coordinators = coordinators
	settings.Cells = cells
	settings.ReplicasPerShard = 1
	settings.Shards = 2 * cells
	settings.MaxOpen = 5000
	router, err := New(settings, 7)
	if err != nil {
		b.Fatal(err)
	}
	h := &benchHost{b: b, router: router, now: time.Minute, shards: settings.Shards, next: 1}
	var endpoints []Endpoint
	for i := range servers {
		endpoints = append(endpoints, Endpoint{Server: ServerID(i + 1), Cell: i % cells, State: Ready})
	}
	h.events = append(h.events, EndpointUpdate{Mode: UpdateFull, Endpoints: endpoints})
	return h
}

// query runs one query from its arrival to its answer.
func (h *benchHost) query() {
	h.number++
	id := h.next
	h.next += 1 + benchParts
	h.addArrivals(id)
	for range 100 {
		if h.turn(id) {
			return
		}
	}
	h.b.Fatalf("query %d: no answer after 100 turns", h.number)
}

// addArrivals adds the events of a query and its parts.
func (h *benchHost) addArrivals(id RequestID) {
	arrival := Arrival{ID: id, Shard: -1, Timeout: 5 * time.Second, QueryNumber: h.number, Weight: benchParts}
	h.events = append(h.events, arrival)
	for i := range RequestID(benchParts) {
		arrival.ID = id + 1 + i
		arrival.Shard = int(h.number+uint64(i)) % h.shards
		arrival.Weight = 1. / benchParts
		h.events = append(h.events, arrival)
	}
}

// fireTimers adds the events of the timers that are due.
func (h *benchHost) fireTimers() {
	waiting := h.timers[:0]
	for _, timer := range h.timers {
		if timer.at <= h.now {
			h.events = append(h.events, TimerFired{Token: timer.token})
		} else {
			waiting = append(waiting, timer)
		}
	}
	h.timers = waiting
}

// turn runs one turn and reports whether it answered the query.
func (h *benchHost) turn(query RequestID) (answered bool) {
	h.now += 5 * ms
	h.fireTimers()
	actions := h.router.Turn(h.now, h.events)
	h.events = h.events[:0]
	for _, action := range actions {
		switch a := action.(type) {
		case HealthCheck:
			h.events = append(h.events, checkReply(a.Server, float64(a.Server%4)))
		case Send:
			h.events = append(h.events, AttemptResult{ID: a.ID, Server: a.Server, Code: OK, Latency: 5 * ms})
		case SetTimer:
			h.timers = append(h.timers, benchTimer{h.now + a.After, a.Token})
		case Answer:
			if a.ID != query || !a.Complete {
				h.b.Fatalf("answer = %+v, want a complete answer to query %d", a, query)
			}
			answered = true
		case Reject, Fail:
			h.b.Fatalf("query %d: got %T%+v, want an answer", h.number, a, a)
		}
	}
	return answered
}
