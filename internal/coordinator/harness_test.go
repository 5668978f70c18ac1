package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
)

// fakeTransports records attempts, which the test ends itself. Health checks succeed immediately, unless
// ignoresHealthChecks is set.
type fakeTransports struct {
	core *Core

	mu                  sync.Mutex
	calls               [][]Attempt
	servers             []routing.ServerID // servers[i] is the server of calls[i]
	canceled            []AttemptID
	queueFull           bool
	ignoresHealthChecks bool
}

func (*fakeTransports) UpdateEndpoints(EndpointUpdate) {}

func (f *fakeTransports) Send(server routing.ServerID, attempts []Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.servers = append(f.calls, attempts), append(f.servers, server)
	return !f.queueFull
}

func (f *fakeTransports) Cancel(_ routing.ServerID, id AttemptID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled = append(f.canceled, id)
}

func (f *fakeTransports) CheckHealth(_ routing.ServerID, number uint64) bool {
	if !f.ignoresHealthChecks {
		go f.core.HealthCheckEnded(number, Result{Outcome: outcome.Success, At: f.core.Now(), LoadReport: []float64{0}})
	}
	return true
}

func (*fakeTransports) AbandonHealthCheck(routing.ServerID, uint64) {}

// sent returns the attempts sent so far.
func (f *fakeTransports) sent() (attempts []Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, call := range f.calls {
		attempts = append(attempts, call...)
	}
	return attempts
}

func (f *fakeTransports) endAll(attempts []Attempt, attemptOutcome outcome.Outcome) {
	for _, a := range attempts {
		f.core.AttemptEnded(a.ID, Result{Outcome: attemptOutcome, At: f.core.Now(), Value: []byte("v")})
	}
}

// submit submits a query of the given parts. answers receives the query's answers as they arrive.
func (f *fakeTransports) submit(timeout time.Duration, parts ...Part) (answers *[]Answer, disconnect func()) {
	return f.submitQuery(Query{Timeout: timeout, Parts: parts})
}

func (f *fakeTransports) submitQuery(q Query) (answers *[]Answer, disconnect func()) {
	answers = new([]Answer)
	q.Name, q.StartedAt = "q", f.core.Now()
	q.Reply = func(a Answer) { *answers = append(*answers, a) }
	return answers, f.core.Submit(q)
}

func testSettings() routing.Settings {
	return routing.Settings{Tick: 5 * time.Millisecond, Coordinators: 1, Shards: 4, Cells: 2, ReplicasPerShard: 1,
		HealthChecks: true, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 3, PartsPerRequest: 1,
		ReportFields: []routing.ReportField{routing.FieldInFlight}, AnswerSlack: 20 * time.Millisecond,
		Classes: []routing.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
			RequiredWeight: 1, MinWeight: 1}}}
}

func newTestCore(t *testing.T, settings routing.Settings) *Core {
	t.Helper()
	core, err := New(Config{Settings: settings, Seed: 7, HealthCheckTimeout: 250 * time.Millisecond,
		Counters: metrics.NewCounters(), Totals: metrics.NewTotals(make([]string, len(settings.Classes)))})
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// testCore runs a test on a core with four servers and a fake clock.
func testCore(t *testing.T, test func(*testing.T, *fakeTransports)) {
	t.Helper()
	testCoreWith(t, testSettings(), test)
}

func testCoreWith(t *testing.T, settings routing.Settings, test func(*testing.T, *fakeTransports)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, stop := startTestCore(t, settings)
		test(t, f)
		stop()
	})
}

// startTestCore starts a core with four servers. stop ends the core and waits until it has ended.
func startTestCore(t *testing.T, settings routing.Settings) (f *fakeTransports, stop func()) {
	t.Helper()
	core := newTestCore(t, settings)
	f = &fakeTransports{core: core}
	core.SetTransports(f)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); core.Run(ctx) }()
	var endpoints []Endpoint
	for i := range 4 {
		endpoints = append(endpoints, Endpoint{Endpoint: routing.Endpoint{Server: routing.ServerID(i), Cell: i % 2, State: routing.Ready}})
	}
	core.UpdateEndpoints(EndpointUpdate{Mode: routing.UpdateFull, Endpoints: endpoints})
	return f, func() { cancel(); <-done }
}

// wait advances the fake clock and waits until every other goroutine is blocked.
func wait(d time.Duration) { time.Sleep(d); synctest.Wait() }

var twoParts = []Part{{Shard: 0, Weight: 0.5, Payload: []byte("x")}, {Shard: 1, Weight: 0.5, Payload: []byte("x")}}

// onlyAnswer checks that there is exactly one answer, with the wanted status, and returns it.
func onlyAnswer(t *testing.T, answers *[]Answer, want Status) Answer {
	t.Helper()
	if len(*answers) != 1 || (*answers)[0].Status != want {
		t.Fatalf("answers %+v, want one with status %d", *answers, want)
	}
	return (*answers)[0]
}
