package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
)

// instantTransports answers every attempt and health check immediately.
type instantTransports struct{ core *Core }

func (*instantTransports) UpdateEndpoints(EndpointUpdate) {}

func (t *instantTransports) Send(_ routing.ServerID, attempts []Attempt) bool {
	for _, a := range attempts {
		result := Result{Outcome: outcome.Success, At: t.core.Now()}
		if a.Request != nil {
			result.Covers = &a.Request.Range
		}
		go t.core.AttemptEnded(a.ID, result)
	}
	return true
}

func (*instantTransports) Cancel(routing.ServerID, AttemptID) {}

func (t *instantTransports) CheckHealth(_ routing.ServerID, number uint64) bool {
	go t.core.HealthCheckEnded(number, Result{Outcome: outcome.Success, At: t.core.Now(), LoadReport: []float64{0}})
	return true
}

func (*instantTransports) AbandonHealthCheck(routing.ServerID, uint64) {}

// BenchmarkQuery measures a query of eight parts on the fixed shard map, and on a collection of n shards whose shard
// map does not change during the run.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{0, 10, 1000, 100_000} {
		name := "fixed"
		if n > 0 {
			name = fmt.Sprintf("slices=%d", n)
		}
		b.Run(name, func(b *testing.B) {
			benchmarkQueries(b, n, benchmarkFleet{coordinators: 1, servers: 4, cells: 1, shards: 8})
		})
	}
}

// BenchmarkQueryFleet measures a query of eight parts on the fixed shard map, for the server counts of sites with 3,
// 80 and 300 coordinators. Servers form sets of three replicas that hold two shards each, as in the benchmark of
// package routing.
func BenchmarkQueryFleet(b *testing.B) {
	for _, f := range []benchmarkFleet{{3, 15, 5, 10}, {80, 54, 18, 36}, {300, 201, 67, 134}} {
		b.Run(fmt.Sprintf("coordinators=%d/servers=%d", f.coordinators, f.servers), func(b *testing.B) { benchmarkQueries(b, 0, f) })
	}
}

// benchmarkFleet is the number of coordinators, servers, cells and shards at a site.
type benchmarkFleet struct{ coordinators, servers, cells, shards int }

func (f benchmarkFleet) settings() routing.Settings {
	return routing.Settings{Tick: time.Microsecond, Coordinators: f.coordinators, Shards: f.shards, Cells: f.cells,
		ReplicasPerShard: 1, HealthChecks: false, Cancel: true, MaxAttempts: 3, PartsPerRequest: 1,
		ReportFields: []routing.ReportField{routing.FieldInFlight}, AnswerSlack: 20 * time.Millisecond,
		Classes: []routing.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
			RequiredWeight: 1, MinWeight: 1}}}
}

func (f benchmarkFleet) endpoints() (endpoints []Endpoint) {
	for i := range f.servers {
		endpoints = append(endpoints, Endpoint{Endpoint: routing.Endpoint{Server: routing.ServerID(i), Cell: i % f.cells, State: routing.Ready}})
	}
	return endpoints
}

// benchmarkQuery returns a query of eight parts. If n is 0, the query is on the fixed shard map; otherwise it is on a
// collection of n shards, which is published to the core.
func benchmarkQuery(b *testing.B, core *Core, n int) Query {
	b.Helper()
	q := Query{Name: "q", Timeout: 2 * time.Second, Payload: []byte("x")}
	if n == 0 {
		for i := range 8 {
			q.Parts = append(q.Parts, Part{Shard: i, Weight: 1. / 8, Payload: q.Payload})
		}
		return q
	}
	m, err := shardmap.NewEven(n, [][]string{{"a", "b", "c", "d"}})
	if err != nil {
		b.Fatal(err)
	}
	change, _ := shardmap.Diff("i", nil, m)
	core.UpdateShardMaps([]shardmap.Change{change}, serverID)
	q.Collection = "i"
	for i := range 8 {
		key := shardmap.HashKey(fmt.Sprint(i))
		q.KeyRanges = append(q.KeyRanges, shardmap.Range{First: key, Last: key})
	}
	return q
}

func benchmarkQueries(b *testing.B, n int, fleet benchmarkFleet) {
	core, err := New(Config{Settings: fleet.settings(), Seed: 7, HealthCheckTimeout: time.Second, Counters: metrics.NewCounters(), Totals: metrics.NewTotals([]string{"q"})})
	if err != nil {
		b.Fatal(err)
	}
	core.SetTransports(&instantTransports{core})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	core.UpdateEndpoints(EndpointUpdate{Mode: routing.UpdateFull, Endpoints: fleet.endpoints()})
	q := benchmarkQuery(b, core, n)
	answers := make(chan Answer, 1)
	q.Reply = func(a Answer) { answers <- a }
	b.ReportAllocs()
	for b.Loop() {
		q.StartedAt = core.Now()
		core.Submit(q)
		if a := <-answers; !a.Complete {
			b.Fatalf("answer %+v, want a complete one", a)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/8, "ns/part")
	b.StopTimer()
	cancel()
	<-done
}
