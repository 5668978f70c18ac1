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

// fakeTransports is a stand-in for the way to servers: what it takes waits for the test.
type fakeTransports struct {
	mu      sync.Mutex
	core    *Core
	calls   [][]Attempt
	servers []routing.ServerID
	cancels []AttemptID
	full    bool
	mute    bool // probes stay without an answer
}

func (*fakeTransports) UpdateEndpoints(EndpointUpdate) {}
func (l *fakeTransports) Send(s routing.ServerID, list []Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls, l.servers = append(l.calls, list), append(l.servers, s)
	return !l.full
}
func (l *fakeTransports) Cancel(_ routing.ServerID, id AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels = append(l.cancels, id)
}
func (l *fakeTransports) CheckHealth(_ routing.ServerID, n uint64) bool {
	if !l.mute {
		go l.core.HealthCheckEnded(n, Result{Outcome: outcome.Success, At: l.core.Now(), LoadReport: []float64{0}})
	}
	return true
}
func (*fakeTransports) AbandonHealthCheck(routing.ServerID, uint64) {}

// taken is what has been called so far.
func (l *fakeTransports) taken() (out []Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		out = append(out, c...)
	}
	return out
}

func (l *fakeTransports) answer(list []Attempt, e outcome.Outcome) {
	for _, a := range list {
		l.core.AttemptEnded(a.ID, Result{Outcome: e, At: l.core.Now(), Value: []byte("v")})
	}
}

// bench runs a core in a bubble of its own time.
func bench(t *testing.T, f func(*fakeTransports, func(time.Duration, ...Part) (*[]Answer, func()))) {
	benchWith(t, func(*routing.Settings) {}, f)
}

// benchWith is the same with other settings.
func benchWith(t *testing.T, change func(*routing.Settings), f func(*fakeTransports, func(time.Duration, ...Part) (*[]Answer, func()))) {
	synctest.Test(t, func(t *testing.T) {
		set := routing.Settings{Tick: 5 * time.Millisecond, Coordinators: 1, Shards: 4, Cells: 2, ReplicasPerShard: 1, HealthChecks: true,
			Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 3, PartsPerRequest: 1,
			ReportFields: []routing.ReportField{routing.FieldInFlight}, AnswerSlack: 20 * time.Millisecond,
			Classes: []routing.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, RequiredWeight: 1, MinWeight: 1}}}
		change(&set)
		core, err := New(Config{Settings: set, Seed: 7, HealthCheckTimeout: 250 * time.Millisecond, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(make([]string, len(set.Classes)))})
		if err != nil {
			t.Fatal(err)
		}
		l := &fakeTransports{core: core}
		core.SetTransports(l)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); core.Run(ctx) }()
		var members []Endpoint
		for i := range 4 {
			members = append(members, Endpoint{Endpoint: routing.Endpoint{Server: routing.ServerID(i), Cell: i % 2, State: routing.Ready}})
		}
		core.UpdateEndpoints(EndpointUpdate{Mode: routing.UpdateFull, Endpoints: members})
		f(l, func(timeout time.Duration, parts ...Part) (*[]Answer, func()) {
			answers := new([]Answer)
			leave := core.Submit(Query{Name: "q", StartedAt: core.Now(), Timeout: timeout, Parts: parts,
				Reply: func(a Answer) { *answers = append(*answers, a) }})
			return answers, leave
		})
		cancel()
		<-done
	})
}

func settle(d time.Duration) { time.Sleep(d); synctest.Wait() }

var two = []Part{{Shard: 0, Weight: 0.5, Payload: []byte("x")}, {Shard: 1, Weight: 0.5, Payload: []byte("x")}}

func one(t *testing.T, answers *[]Answer, want Status) Answer {
	t.Helper()
	if len(*answers) != 1 || (*answers)[0].Status != want {
		t.Fatalf("answers %+v, want one of verdict %d", *answers, want)
	}
	return (*answers)[0]
}

func TestWholeAnswer(t *testing.T) {
	bench(t, func(l *fakeTransports, ask func(time.Duration, ...Part) (*[]Answer, func())) {
		answers, leave := ask(2*time.Second, two...)
		settle(50 * time.Millisecond)
		list := l.taken()
		if len(list) != 2 {
			t.Fatalf("calls %+v", list)
		}
		l.answer(list, outcome.Success)
		l.answer(list, outcome.Success) // a second end of one attempt is dropped
		settle(50 * time.Millisecond)
		if a := one(t, answers, Answered); !a.Complete || len(a.Values) != 2 || len(a.Missing) != 0 {
			t.Errorf("%+v", a)
		}
		leave()
		settle(3 * time.Second)
		one(t, answers, Answered)
	})
}

// A query whose parts stay silent still gets its one answer before the client's time is over.
func TestSilenceEndsInOneAnswerInTime(t *testing.T) {
	for _, mute := range []bool{false, true} {
		bench(t, func(l *fakeTransports, ask func(time.Duration, ...Part) (*[]Answer, func())) {
			l.mute = mute
			answers, _ := ask(400*time.Millisecond, two...)
			settle(401 * time.Millisecond)
			if a := one(t, answers, Failed); !a.TimedOut || len(a.Missing) != 2 {
				t.Errorf("%+v", a)
			}
			settle(3 * time.Second)
			one(t, answers, Failed)
		})
	}
}

// What the module has given up on is answered in the same turn, with its advice,
// and not held until the client's time is nearly over.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	bench(t, func(l *fakeTransports, ask func(time.Duration, ...Part) (*[]Answer, func())) {
		l.full = true // each attempt ends as one that never ran
		answers, _ := ask(2*time.Second, two...)
		settle(1100 * time.Millisecond)
		if a := one(t, answers, Rejected); a.RetryAfter <= 0 || a.TimedOut {
			t.Errorf("%+v", a)
		}
		tries := map[AttemptID]bool{}
		for _, a := range l.taken() {
			tries[a.ID] = true
			if a.ID.No >= 3 {
				t.Errorf("attempt %d of a part", a.ID.No+1)
			}
		}
		if len(tries) != len(l.taken()) {
			t.Error("an attempt was called twice")
		}
	})
}

func TestClientGoneCallsBackWhatIsOut(t *testing.T) {
	bench(t, func(l *fakeTransports, ask func(time.Duration, ...Part) (*[]Answer, func())) {
		answers, leave := ask(2*time.Second, two...)
		settle(50 * time.Millisecond)
		leave()
		settle(20 * time.Millisecond)
		one(t, answers, Failed)
		list := l.taken()
		if len(l.cancels) != len(list) || !list[0].Canceled() {
			t.Errorf("%d attempts out, %d called back", len(list), len(l.cancels))
		}
		l.answer(list, outcome.Success) // comes too late
		settle(50 * time.Millisecond)
		one(t, answers, Failed)
	})
}

// Crossing: a client goes while its parts are decided and not yet written, as where a connection comes up
// late. They never will be, also where nothing can be called back.
func TestWhatIsNotYetWrittenNeverIsOnceItsClientHasGone(t *testing.T) {
	benchWith(t, func(set *routing.Settings) { set.Cancel = false }, func(l *fakeTransports, ask func(time.Duration, ...Part) (*[]Answer, func())) {
		answers, leave := ask(2*time.Second, two...)
		settle(50 * time.Millisecond)
		leave()
		settle(20 * time.Millisecond)
		one(t, answers, Failed)
		list := l.taken()
		if len(list) != 2 || len(l.cancels) != 0 {
			t.Fatalf("%d attempts out, %d called back", len(list), len(l.cancels))
		}
		for _, a := range list {
			if !a.Canceled() {
				t.Errorf("%v may still be written", a.ID)
			}
		}
		l.answer(list, outcome.NotSent)
		settle(50 * time.Millisecond)
		if n := len(l.taken()); n != 2 {
			t.Errorf("%d attempts", n)
		}
	})
}

// A query's tenant reaches the module, and one of nobody's is none of them.
func TestTenantsOfTheModule(t *testing.T) {
	c := &Core{settings: routing.Settings{Tenants: make([]routing.Tenant, 2)}}
	for tenant, want := range []int{2, 0, 1} {
		if got := c.tenantIndex(&query{Query: Query{Tenant: tenant}}); got != want {
			t.Errorf("%d came as %d, want %d", tenant, got, want)
		}
	}
}

func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, err := New(Config{Settings: routing.Settings{Coordinators: 1, Shards: 1, Cells: 1, ReplicasPerShard: 1,
			Classes: []routing.Class{{LatencyObjective: 1, Deadline: 1, RequiredWeight: 1}}}, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(make([]string, 1))})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		// A server that started before this coordinator must not pass for one started long
		// ago: it may be cold still.
		if got := core.Clock(now.Add(-5 * time.Second).UnixMilli()); got != core.Now()-5*time.Second {
			t.Errorf("five seconds ago is %v at %v", got, core.Now())
		}
		if core.Clock(0) != 0 || core.Clock(now.Add(-100*time.Hour).UnixMilli()) != 0 {
			t.Error("long ago is not 0")
		}
	})
}
