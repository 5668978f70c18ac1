package upstream_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/upstream"
)

// lateCore is a core before whose first dial the test stands.
type lateCore struct {
	*coordinator.Core
	late   chan struct{}
	dialed atomic.Bool
}

func (c *lateCore) Arm(at time.Duration, fire func()) func() {
	if c.dialed.CompareAndSwap(false, true) {
		<-c.late
	}
	return c.Core.Arm(at, fire)
}

// way is the way of a core to one peer.
type way struct {
	*upstream.Client
	calls atomic.Int64
}

func (*way) UpdateEndpoints(coordinator.EndpointUpdate) {}
func (w *way) Send(_ routing.ServerID, list []coordinator.Attempt) bool {
	w.calls.Add(int64(len(list)))
	return w.Client.Send(list)
}
func (w *way) Cancel(_ routing.ServerID, id coordinator.AttemptID) { w.Client.Cancel(id) }
func (*way) CheckHealth(routing.ServerID, uint64) bool             { return false }
func (*way) AbandonHealthCheck(routing.ServerID, uint64)           {}

// Crossing: a burst of clients leaves while their queries wait for a connection. Nothing can be called back here, and
// none of them is sent on once it is up; one that stays is.
func TestABurstOfClientsThatLeave(t *testing.T) {
	set := routing.Settings{Tick: 5 * time.Millisecond, Coordinators: 1, Shards: 1, Cells: 1, ReplicasPerShard: 1, PartsPerRequest: 1, MaxAttempts: 3,
		AnswerSlack: 20 * time.Millisecond, Classes: []routing.Class{{LatencyObjective: 20 * time.Second, Deadline: 30 * time.Second, PriorityWeight: 1, RequiredWeight: 1, MinWeight: 1}}}
	core, err := coordinator.New(coordinator.Config{Settings: set, Seed: 7, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(make([]string, 1))})
	if err != nil {
		t.Fatal(err)
	}
	sink := &lateCore{Core: core, late: make(chan struct{})}
	ln := listenTCP(t)
	w := &way{Client: upstream.New(upstream.Config{Sink: sink, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(nil), ConnectTimeout: patience},
		frame.Codec{MaxStreams: 64}, "s-1", ln.Addr().String())}
	w.SetAcceptsWork(true)
	core.SetTransports(w)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	t.Cleanup(func() { w.Close(); w.Wait(); cancel(); <-done })
	core.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: []coordinator.Endpoint{{Endpoint: routing.Endpoint{Server: 1, State: routing.Ready}}}})
	const burst = 5 // as many as the module admits with no latency known
	answers := make(chan coordinator.Answer, burst+1)
	ask := func(name string) (leave func()) {
		return core.Submit(coordinator.Query{Name: name, StartedAt: core.Now(), Timeout: 30 * time.Second,
			Parts: []coordinator.Part{{Weight: 1, Payload: []byte("x")}}, Reply: func(a coordinator.Answer) { answers <- a }})
	}
	handed := func(n int64) {
		for w.calls.Load() < n {
			time.Sleep(time.Millisecond)
		}
	}
	var leave []func()
	for i := range burst {
		leave = append(leave, ask(fmt.Sprint("leaves", i)))
	}
	handed(burst)
	for _, l := range leave {
		l()
	}
	for range burst {
		if a := <-answers; a.Status != coordinator.Failed {
			t.Errorf("%+v", a)
		}
	}
	ask("stays")
	handed(burst + 1)
	sink.late <- struct{}{}
	nc, r := accept(t, ln)
	if got := next(t, r); got != "s" {
		t.Errorf("%q was sent on", got)
	}
	_, _ = nc.Write(frame.Append(nil, frame.Answer, []byte("stays.0 200 1 -\nv")))
	if a := <-answers; a.Status != coordinator.Answered {
		t.Errorf("%+v", a)
	}
	if n := core.OpenCount(); n != 0 {
		t.Errorf("%d queries and parts are held", n)
	}
	if outcome.NotSent.RoutingCode() != routing.NotSent {
		t.Error("what was not sent counts as run")
	}
}
