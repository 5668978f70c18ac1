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

// instant answers every attempt and probe as soon as it is asked.
type instant struct{ core *Core }

func (*instant) UpdateEndpoints(EndpointUpdate) {}
func (l *instant) Send(_ routing.ServerID, list []Attempt) bool {
	for _, a := range list {
		r := Result{Outcome: outcome.Success, At: l.core.Now()}
		if a.Request != nil {
			r.Covers = &a.Request.Range
		}
		go l.core.AttemptEnded(a.ID, r)
	}
	return true
}
func (*instant) Cancel(routing.ServerID, AttemptID) {}
func (l *instant) CheckHealth(_ routing.ServerID, n uint64) bool {
	go l.core.HealthCheckEnded(n, Result{Outcome: outcome.Success, At: l.core.Now(), LoadReport: []float64{0}})
	return true
}
func (*instant) AbandonHealthCheck(routing.ServerID, uint64) {}

// A query of eight parts through the core: on a fixed layout, and on one that could move and stays
// still. The difference is what the layout costs each query.
func BenchmarkQuery(b *testing.B) {
	for _, n := range []int{0, 10, 1000, 100_000} {
		name := "fixed"
		if n > 0 {
			name = fmt.Sprintf("slices=%d", n)
		}
		b.Run(name, func(b *testing.B) { benchQueries(b, n, benchFleet{coordinators: 1, servers: 4, cells: 1, shards: 8}) })
	}
}

// A query of eight parts through the core on a fixed layout, with the servers of 3, 80 and 300 coordinators: in sets of
// three replicas that hold two shards each, as in the decision module's benchmark.
func BenchmarkQueryFleet(b *testing.B) {
	for _, f := range []benchFleet{{3, 15, 5, 10}, {80, 54, 18, 36}, {300, 201, 67, 134}} {
		b.Run(fmt.Sprintf("coordinators=%d/servers=%d", f.coordinators, f.servers), func(b *testing.B) { benchQueries(b, 0, f) })
	}
}

// benchFleet is what a coordinator sees of its site.
type benchFleet struct{ coordinators, servers, cells, shards int }

func benchQueries(b *testing.B, n int, fleet benchFleet) {
	set := routing.Settings{Tick: time.Microsecond, Coordinators: fleet.coordinators, Shards: fleet.shards, Cells: fleet.cells, ReplicasPerShard: 1, HealthChecks: false, Cancel: true, MaxAttempts: 3,
		PartsPerRequest: 1, ReportFields: []routing.ReportField{routing.FieldInFlight}, AnswerSlack: 20 * time.Millisecond,
		Classes: []routing.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, RequiredWeight: 1, MinWeight: 1}}}
	core, err := New(Config{Settings: set, Seed: 7, HealthCheckTimeout: time.Second, Counters: metrics.NewCounters(), Totals: metrics.NewTotals([]string{"q"})})
	if err != nil {
		b.Fatal(err)
	}
	core.SetTransports(&instant{core})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	var members []Endpoint
	for i := range fleet.servers {
		members = append(members, Endpoint{Endpoint: routing.Endpoint{Server: routing.ServerID(i), Cell: i % fleet.cells, State: routing.Ready}})
	}
	core.UpdateEndpoints(EndpointUpdate{Mode: routing.UpdateFull, Endpoints: members})
	q := Query{Name: "q", Timeout: 2 * time.Second, Payload: []byte("x")}
	if n == 0 {
		for i := range 8 {
			q.Parts = append(q.Parts, Part{Shard: i, Weight: 1. / 8, Payload: q.Payload})
		}
	} else {
		l, err := shardmap.NewEven(n, [][]string{{"a", "b", "c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		news, _ := shardmap.Diff("i", nil, l)
		core.UpdateShardMaps([]shardmap.Change{news}, func(s string) routing.ServerID { return numbers[s] })
		q.Collection = "i"
		for i := range 8 {
			k := shardmap.HashKey(fmt.Sprint(i))
			q.KeyRanges = append(q.KeyRanges, shardmap.Range{First: k, Last: k})
		}
	}
	answers := make(chan Answer, 1)
	q.Reply = func(a Answer) { answers <- a }
	b.ReportAllocs()
	for b.Loop() {
		q.StartedAt = core.Now()
		core.Submit(q)
		if a := <-answers; !a.Complete {
			b.Fatalf("%+v", a)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/8, "ns/part")
	b.StopTimer()
	cancel()
	<-done
}
