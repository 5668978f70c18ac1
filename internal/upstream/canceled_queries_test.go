package upstream_test

import (
	"context"
	"fmt"
	"net"
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

// blockedDialCore is a core that blocks the first dial until the test sends to firstDial.
type blockedDialCore struct {
	*coordinator.Core
	firstDial chan struct{}
	dialed    atomic.Bool
}

func (c *blockedDialCore) Arm(at time.Duration, fire func()) func() {
	if c.dialed.CompareAndSwap(false, true) {
		<-c.firstDial
	}
	return c.Core.Arm(at, fire)
}

// countedTransport connects a core to one client, and counts the attempts that the core sends.
type countedTransport struct {
	*upstream.Client
	sent atomic.Int64
}

func (*countedTransport) UpdateEndpoints(coordinator.EndpointUpdate) {}
func (c *countedTransport) Send(_ routing.ServerID, attempts []coordinator.Attempt) bool {
	c.sent.Add(int64(len(attempts)))
	return c.Client.Send(attempts)
}
func (c *countedTransport) Cancel(_ routing.ServerID, id coordinator.AttemptID) { c.Client.Cancel(id) }
func (*countedTransport) CheckHealth(routing.ServerID, uint64) bool             { return false }
func (*countedTransport) AbandonHealthCheck(routing.ServerID, uint64)           {}

// waitSent waits until the core has sent n attempts.
func (c *countedTransport) waitSent(n int64) {
	for c.sent.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

var oneShard = routing.Settings{
	Tick:             5 * time.Millisecond,
	Coordinators:     1,
	Shards:           1,
	Cells:            1,
	ReplicasPerShard: 1,
	PartsPerRequest:  1,
	MaxAttempts:      3,
	AnswerSlack:      20 * time.Millisecond,
	Classes: []routing.Class{{
		LatencyObjective: 20 * time.Second,
		Deadline:         30 * time.Second,
		PriorityWeight:   1,
		RequiredWeight:   1,
		MinWeight:        1,
	}},
}

// startCore runs a core with one server, and returns the listener on which the test accepts connections.
func startCore(t *testing.T) (*blockedDialCore, *countedTransport, net.Listener) {
	t.Helper()
	core, err := coordinator.New(coordinator.Config{
		Settings: oneShard,
		Seed:     7,
		Counters: metrics.NewCounters(),
		Totals:   metrics.NewTotals(make([]string, 1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	sink := &blockedDialCore{Core: core, firstDial: make(chan struct{})}
	ln := listenTCP(t)
	config := newConfig(sink)
	config.ConnectTimeout = waitLimit
	transport := &countedTransport{Client: upstream.New(config, frame.Codec{MaxStreams: 64}, "s-1", ln.Addr().String())}
	transport.SetAcceptsWork(true)
	core.SetTransports(transport)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	t.Cleanup(func() { transport.Close(); transport.Wait(); cancel(); <-done })
	endpoint := coordinator.Endpoint{Endpoint: routing.Endpoint{Server: 1, State: routing.Ready}}
	core.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: []coordinator.Endpoint{endpoint}})
	return sink, transport, ln
}

// submit submits a query with one part, and returns a function that disconnects its client.
func submit(core *blockedDialCore, name string, answers chan<- coordinator.Answer) (disconnect func()) {
	return core.Submit(coordinator.Query{
		Name:      name,
		StartedAt: core.Now(),
		Timeout:   30 * time.Second,
		Parts:     []coordinator.Part{{Weight: 1, Payload: []byte("x")}},
		Reply:     func(a coordinator.Answer) { answers <- a },
	})
}

// Race: clients disconnect while their queries wait for a connection, so there is nothing to cancel at the server. Once
// the connection opens, the canceled queries must not be written, but a query that is still open must be.
func TestCanceledQueriesAreNotWrittenOnceConnected(t *testing.T) {
	core, transport, ln := startCore(t)
	const burst = 5 // the number of queries that are admitted while no latency is known
	answers := make(chan coordinator.Answer, burst+1)
	var disconnects []func()
	for i := range burst {
		disconnects = append(disconnects, submit(core, fmt.Sprint("leaves", i), answers))
	}
	transport.waitSent(burst)
	for _, disconnect := range disconnects {
		disconnect()
	}
	for range burst {
		if a := <-answers; a.Status != coordinator.Failed {
			t.Errorf("answer to a canceled query = %+v, want status %v", a, coordinator.Failed)
		}
	}
	submit(core, "stays", answers)
	transport.waitSent(burst + 1)
	core.firstDial <- struct{}{}
	netConn, r := accept(t, ln)
	wantQuery(t, r, "s")
	reply(netConn, "stays.0 200 1 -\nv")
	if a := <-answers; a.Status != coordinator.Answered {
		t.Errorf("answer to the open query = %+v, want status %v", a, coordinator.Answered)
	}
	if n := core.OpenCount(); n != 0 {
		t.Errorf("open queries and parts = %d, want 0", n)
	}
	if outcome.NotSent.RoutingCode() != routing.NotSent {
		t.Errorf("routing code of NotSent = %v, want %v", outcome.NotSent.RoutingCode(), routing.NotSent)
	}
}
