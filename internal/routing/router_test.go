package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// bed drives one router turn by turn and remembers what it did.
type bed struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	last []Action
	next uint64

	lasting bool // replies to probes count in later races; otherwise each part has its own
}

func settings() Settings {
	return Settings{
		Tick: 5 * ms, Coordinators: 1, Shards: 3, Cells: 3, ReplicasPerShard: 3, MaxAttempts: 4,
		HealthChecks: true, Cancel: true, Hedging: true, RetryAfter: true, MaxRetryAfter: time.Second,
		ReportFields: []ReportField{FieldUtilization, FieldInFlight},
		Classes: []Class{{Idempotency: Idempotent, LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second,
			PriorityWeight: 1, LateValue: 0.3, RequiredWeight: 1, MinWeight: 1}},
	}
}

func newBed(t *testing.T, set Settings) *bed {
	t.Helper()
	r, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, r: r, now: time.Minute}
	b.turn(EndpointUpdate{Mode: UpdateCached, Endpoints: []Endpoint{
		{Server: 1, Cell: 0, State: Ready}, {Server: 2, Cell: 1, State: Ready}, {Server: 3, Cell: 2, State: Ready}}})
	return b
}

func (b *bed) turn(events ...Event) []Action {
	for _, s := range b.r.endpoints.listed {
		if !b.lasting {
			s.checks.validUntil = 0
		}
	}
	b.last = slices.Clone(b.r.Turn(b.now, events))
	return b.last
}

func (b *bed) after(d time.Duration, events ...Event) []Action {
	b.now += d
	return b.turn(events...)
}

// query brings a query with one part for each shard given; ids are q, q+1, ...
func (b *bed) query(q RequestID, class int, shards ...int) []Action {
	return b.turn(b.arrivals(q, class, shards...)...)
}

// arrivals are the events of such a query.
func (b *bed) arrivals(q RequestID, class int, shards ...int) []Event {
	b.next++
	events := []Event{Arrival{ID: q, Shard: -1, Timeout: 5 * time.Second, Class: class, QueryNumber: b.next, Weight: float64(len(shards))}}
	for i, s := range shards {
		events = append(events, Arrival{ID: q + 1 + RequestID(i), Shard: s, Timeout: 5 * time.Second, Class: class,
			QueryNumber: b.next, Weight: 1 / float64(len(shards))})
	}
	return events
}

// known plays a query of one part that one of the servers answers after the time given.
func (b *bed) known(q RequestID, took time.Duration, servers ...ServerID) {
	b.t.Helper()
	b.query(q, 0, 0)
	s := b.sentTo(servers...)
	b.after(took, closed(q+1, 0, s, OK, took))
}

func reply(s ServerID, inflight float64) HealthCheckResult {
	return HealthCheckResult{Server: s, Code: OK, Latency: 2 * ms, LoadReport: []float64{0.5, inflight}}
}

func of[A Action](actions []Action) []A {
	var out []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

// sentTo plays a race that all of the servers win together and tells where the part went.
func (b *bed) sentTo(servers ...ServerID) ServerID {
	b.t.Helper()
	var events []Event
	for _, s := range servers {
		events = append(events, reply(s, 0))
	}
	b.after(5*ms, events...)
	sends := of[Send](b.last)
	if len(sends) == 0 {
		sends = of[Send](b.after(5 * ms))
	}
	if len(sends) != 1 {
		b.t.Fatalf("%d sends: %v", len(sends), b.last)
	}
	return sends[0].Server
}

// closed is the outcome of a part's attempt.
func closed(id RequestID, attempt int, s ServerID, code Code, took time.Duration) AttemptResult {
	return AttemptResult{ID: id, Attempt: attempt, Server: s, Code: code, Latency: took}
}

func expect[A Action](t *testing.T, actions []Action, n int) []A {
	t.Helper()
	got := of[A](actions)
	if len(got) != n {
		t.Fatalf("%d %T actions, want %d: %v", len(got), *new(A), n, actions)
	}
	return got
}

func TestProbesAreSharedByTheTurn(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0, 1, 2)
	if probes := expect[HealthCheck](t, b.last, 3); probes[0].Server == probes[1].Server {
		t.Errorf("probes = %v", probes)
	}
}

func TestRaceStaysOpenHalfAgain(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	expect[Send](t, b.after(20*ms, reply(1, 5)), 0) // t = 20 ms, open until 30 ms
	expect[Send](t, b.after(5*ms, reply(2, 0)), 0)
	if s := expect[Send](t, b.after(5*ms), 1); s[0].Server != 2 {
		t.Errorf("sent to %d, want the one with the least work", s[0].Server)
	}
}

func TestLateReplyLosesTheRace(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	b.after(20*ms, reply(1, 5))
	if s := expect[Send](t, b.after(10*ms), 1); s[0].Server != 1 {
		t.Errorf("sent to %d, want the only one that replied", s[0].Server)
	}
}

func TestWorkSplitsThenOwnParts(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	if s := expect[Send](t, b.after(5*ms, reply(1, 2), reply(2, 1), reply(3, 2)), 1); s[0].Server != 2 {
		t.Fatalf("sent to %d, want 2", s[0].Server)
	}
	// The report is unchanged; the part sent since counts on top of it.
	b.after(5 * ms)
	b.query(20, 0, 0)
	if s := expect[Send](t, b.after(5*ms, reply(1, 1.5), reply(2, 1), reply(3, 2)), 1); s[0].Server != 1 {
		t.Errorf("sent to %d, want 1: own parts sent since count", s[0].Server)
	}
}

func TestOwnPartsGuard(t *testing.T) {
	set := settings()
	set.Hedging = false
	b := newBed(t, set)
	b.known(1, 20*ms, 1) // parts are known to be quick: nothing is refused
	for i, want := range []ServerID{1, 1, 1, 2} {
		b.after(5 * ms)
		b.query(RequestID(10+10*i), 0, 0)
		got := expect[Send](t, b.after(5*ms, reply(1, 0), reply(2, 20), reply(3, 25)), 1)[0].Server
		if got != want {
			t.Errorf("part %d went to %d, want %d", i, got, want)
		}
	}
}

func TestFallbackTakesLowestMedian(t *testing.T) {
	b := newBed(t, settings())
	for i, took := range []time.Duration{90 * ms, 30 * ms, 60 * ms} {
		b.known(RequestID(100+10*i), took, ServerID(i+1))
	}
	b.query(200, 0, 0)
	if s := expect[Send](t, b.after(time.Second), 1); s[0].Server != 2 {
		t.Errorf("silent race went to %d, want 2", s[0].Server)
	}
}

func TestUnheardReplicaCountsAsAverage(t *testing.T) {
	b := newBed(t, settings())
	for i, took := range []time.Duration{90 * ms, 30 * ms} {
		b.known(RequestID(100+10*i), took, ServerID(2*i+1))
	}
	p := &part{id: 201, query: &query{id: 200, class: &b.r.settings.Classes[0], endsAt: b.now + time.Second}}
	b.r.endpoints.replicas[0] = b.r.endpoints.listed
	servers := b.r.endpoints.servers
	chosen := b.r.selector.chooseByLatency(b.now, p, []*server{servers[1], servers[2]}) // 3 may not be used
	if chosen.id != 2 {
		t.Errorf("went to %d, want the unheard 2 (60 ms on average) before 1 (90 ms)", chosen.id)
	}
}

func TestAnswerTheMomentAllIsIn(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0, 1)
	b.after(5*ms, reply(1, 0), reply(2, 0), reply(3, 0))
	sends := expect[Send](t, b.last, 2)
	expect[Answer](t, b.after(50*ms, closed(sends[0].ID, 0, sends[0].Server, OK, 50*ms)), 0)
	expect[Answer](t, b.turn(closed(sends[0].ID, 0, sends[0].Server, OK, 50*ms)), 0) // doubled outcome
	a := expect[Answer](t, b.after(5*ms, closed(sends[1].ID, 0, sends[1].Server, OK, 55*ms)), 1)
	if a[0] != (Answer{ID: 10, Complete: true}) {
		t.Errorf("answer = %+v", a[0])
	}
}

func TestEndsBeforeTheClientsTime(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	s := b.sentTo(1, 2, 3)
	expect[Fail](t, b.after(4900*ms), 0)
	b.after(85 * ms)
	expect[Fail](t, b.last, 1)
	if c := expect[Cancel](t, b.last, len(of[Cancel](b.last))); len(c) == 0 || c[0].ID != 11 {
		t.Errorf("nothing was called back from %d: %v", s, b.last)
	}
	expect[Send](t, b.after(time.Second), 0)
}

func TestRetryGoesElsewhere(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	first := b.sentTo(1, 2, 3)
	b.after(5*ms, closed(11, 0, first, ServerError, 5*ms))
	for _, p := range expect[HealthCheck](t, b.last, 2) {
		if p.Server == first {
			t.Error("the failed replica was asked again")
		}
	}
}

func TestUnsafeIsNotRepeated(t *testing.T) {
	for code, again := range map[Code]int{ServerError: 0, TimedOut: 0, Overloaded: 2, ConnectFailed: 2} {
		set := settings()
		set.Classes[0].Idempotency = NonIdempotent
		b := newBed(t, set)
		b.query(10, 0, 0)
		first := b.sentTo(1, 2, 3)
		b.after(5*ms, closed(11, 0, first, code, 5*ms))
		expect[HealthCheck](t, b.last, again)
		expect[Reject](t, b.last, 0)
		if again == 0 {
			expect[Fail](t, b.last, 1)
		}
	}
}

func TestKeyedWithinItsWindow(t *testing.T) {
	for wait, again := range map[time.Duration]int{400 * ms: 2, 600 * ms: 0} {
		set := settings()
		set.Hedging = false
		set.Classes[0].Idempotency, set.Classes[0].IdempotencyWindow = IdempotentWithKey, 500*ms
		b := newBed(t, set)
		b.query(10, 0, 0)
		first := b.sentTo(1, 2, 3)
		b.after(wait, closed(11, 0, first, TimedOut, wait))
		expect[HealthCheck](t, b.last, again)
	}
}

// Crossing: a further attempt is decided within the window, and may be written only later.
func TestAKeyedAttemptSaysUntilWhenItMayBeWritten(t *testing.T) {
	set := settings()
	set.Hedging = false
	set.Classes[0].Idempotency, set.Classes[0].IdempotencyWindow = IdempotentWithKey, 500*ms
	b := newBed(t, set)
	b.query(10, 0, 0)
	first := b.sentTo(1, 2, 3)
	began := b.now
	b.after(400*ms, closed(11, 0, first, TimedOut, 400*ms))
	b.sentTo(1, 2, 3)
	if got := of[Send](b.last)[0].WriteBefore; got < began || got > began+500*ms {
		t.Errorf("a first attempt at %v may be repeated until %v", began, got)
	}
}

// Crossing: further attempts are decided within the budget and written later, when the queries that allowed
// them may be out of its span and earlier attempts still in it.
func TestTheBudgetHoldsWhenAttemptsAreWritten(t *testing.T) {
	for lag, want := range map[time.Duration]int{0: 1, 300 * ms: 0} {
		set := settings()
		set.RetryBudgetWindow, set.RetryBudgetRatio, set.MaxWriteDelay = 2*time.Second, 0.5, lag
		b := newBed(t, set)
		b.query(10, 0, 0) // it and its part are taken: one further attempt, for so long
		first := b.sentTo(1, 2, 3)
		b.after(1800*ms, closed(11, 0, first, ServerError, 1800*ms))
		if got := len(of[HealthCheck](b.last)); got > 0 != (want > 0) {
			t.Errorf("lag %v: asked again by %d probes", lag, got)
		}
	}
}

// Where there is no budget, the bound on second copies counts over the window of latencies, whatever the lag.
func TestCopiesAreBoundedWithoutABudget(t *testing.T) {
	for _, lag := range []time.Duration{0, 250 * ms} {
		set := settings()
		set.MaxWriteDelay = lag
		b := newBed(t, set)
		for i := range 40 { // silent parts, one a while: the copies of earlier ones count for the later
			b.query(RequestID(10+2*i), 0, 0)
			b.after(200 * ms)
		}
		b.after(2 * time.Second)
		if n := b.r.retries.furtherAttempts.count(b.now); n == 0 || n > minHedges+int(hedgeRatio*80) {
			t.Errorf("lag %v: %d copies of 40 parts within %v", lag, n, statsWindow)
		}
		if b.r.retries.furtherAttempts.span != statsWindow || b.r.retries.arrivals.span != statsWindow {
			t.Errorf("lag %v: counted over %v and %v", lag, b.r.retries.furtherAttempts.span, b.r.retries.arrivals.span)
		}
	}
}

// Where servers tell nothing of their load, late parts say no more than that all are late: copies would go to
// queues as full as those they are to pass, and what is called back goes on.
func TestNoCopiesWhereLoadCannotBeSeen(t *testing.T) {
	for _, told := range []bool{true, false} {
		set := settings()
		if !told {
			set.ReportFields = nil
		}
		b := newBed(t, set)
		b.query(10, 0, 0)
		first := b.sentTo(1, 2, 3)
		b.after(1500 * ms)
		if raced := len(of[HealthCheck](b.last)) > 0; raced != told {
			t.Errorf("reports %v: overdue part raced again: %v", told, raced)
		}
		if told {
			continue
		}
		b.after(5*ms, closed(11, 0, first, ServerError, 5*ms)) // a retry is no copy
		if len(of[HealthCheck](b.last)) == 0 {
			t.Error("not sent again")
		}
	}
}

func TestNoOverlapWhereForbidden(t *testing.T) {
	for _, copies := range []bool{true, false} {
		set := settings()
		set.Hedging = copies
		b := newBed(t, set)
		b.query(10, 0, 0)
		b.sentTo(1, 2, 3)
		b.after(1500 * ms)
		if raced := len(of[HealthCheck](b.last)) > 0; raced != copies {
			t.Errorf("copies %v: overdue part raced again: %v", copies, raced)
		}
	}
}

func TestBudgetOfFurtherAttempts(t *testing.T) {
	set := settings()
	set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetRatio = 5*time.Second, 1, 0
	b := newBed(t, set)
	b.query(10, 0, 0)
	first := b.sentTo(1, 2, 3)
	b.after(5*ms, closed(11, 0, first, ServerError, 5*ms))
	second := b.sentTo(1, 2, 3)
	b.after(5*ms, closed(11, 1, second, ServerError, 5*ms))
	expect[HealthCheck](t, b.last, 0)
	expect[Reject](t, b.last, 1)
}

func TestDrainIsCheckedAtSending(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	b.after(10*ms, reply(1, 0))
	b.after(5*ms, EndpointUpdate{Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Draining}}}, reply(2, 9))
	if s := expect[Send](t, b.last, 1); s[0].Server != 2 {
		t.Errorf("sent to %d, which drains", s[0].Server)
	}
}

func TestFullListDropsTheAbsent(t *testing.T) {
	b := newBed(t, settings())
	b.turn(EndpointUpdate{Mode: UpdateFull, Endpoints: []Endpoint{{Server: 2, Cell: 1, State: Ready}}})
	b.query(10, 0, 0)
	if p := expect[HealthCheck](t, b.last, 1); p[0].Server != 2 {
		t.Errorf("probed %d", p[0].Server)
	}
}

// Servers are replaced for as long as a node runs. Those that left are forgotten after a while, but not while a part is
// out there, and count for nothing meanwhile.
func TestReplacedServersAreForgotten(t *testing.T) {
	b := newBed(t, settings())
	b.turn(EndpointUpdate{Mode: UpdateFull, Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Ready}}})
	b.query(10, 0, 0)
	b.sentTo(1)
	for id := ServerID(100); id < 1100; id++ {
		b.now += time.Second
		b.turn(EndpointUpdate{Mode: UpdateDelta, Endpoints: []Endpoint{{Server: id, Cell: 1, State: Ready}, {Server: id - 1, State: Removed}, {Server: 1, State: Removed}}})
		b.r.endpoints.servers[id].inFlight.lastSentAt = b.now // a part went there
		if len(b.r.endpoints.listed) != 1 || b.r.endpoints.servers[1] == nil {
			t.Fatalf("%d are listed, 1 is; the one with a part out is known: %v", len(b.r.endpoints.listed), b.r.endpoints.servers[1] != nil)
		}
	}
	if n, most := len(b.r.endpoints.servers), int(unlistedRetention/time.Second)+4; n > most {
		t.Errorf("%d servers are held; %d left within a minute, are listed or have a part out", n, most)
	}
}

func TestFailedSubscriptionIsAskedAgain(t *testing.T) {
	set := settings()
	set.SubscribesToEndpoints = true
	b := newBed(t, set)
	expect[Subscribe](t, b.last, 1)
	expect[Subscribe](t, b.after(5*ms, EndpointUpdate{Mode: UpdateFailed}), 0)
	expect[Subscribe](t, b.after(time.Second), 1)
	expect[Subscribe](t, b.after(time.Second, EndpointUpdate{Mode: UpdateDelta}), 0)
	expect[Subscribe](t, b.after(time.Minute), 0)
}

func TestColdServerIsSpared(t *testing.T) {
	set := settings()
	set.WarmupInitialShare, set.WarmupDuration, set.WarmupOverloadFactor = 0.2, 15*time.Second, 3
	b := newBed(t, set)
	b.turn(EndpointUpdate{Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Ready, StartedAt: b.now - time.Second}}})
	cold := 0
	for i := range 20 {
		b.query(RequestID(10+10*i), 0, 0)
		s := b.sentTo(1, 2, 3)
		if s == 1 {
			cold++
		}
		b.after(15*ms, closed(RequestID(11+10*i), 0, s, OK, 15*ms))
	}
	if cold == 0 || cold > 4 { // at most 0.7 x 3 x 0.25 of the eight or so that a warm one answers
		t.Errorf("%d of 20 parts within half a second went to the cold server", cold)
	}
}

// A fast failer looks idle and would win every race.
func TestFastFailerIsLeftAlone(t *testing.T) {
	b := newBed(t, settings())
	failed := 0
	for i := range 30 {
		id := RequestID(100 + 10*i)
		b.query(id, 0, 0)
		b.after(5*ms, reply(1, 0), reply(2, 3), reply(3, 3))
		if len(of[Send](b.last)) == 0 {
			b.after(5 * ms)
		}
		s := expect[Send](t, b.last, 1)[0]
		if s.Server == 1 {
			failed++
			b.after(ms, closed(s.ID, 0, 1, ServerError, ms))
			b.turn(ClientDisconnected{ID: id})
			continue
		}
		b.after(10*ms, closed(s.ID, 0, s.Server, OK, 10*ms))
	}
	if failed == 0 || failed > 4 {
		t.Errorf("%d of 30 parts met the failing server", failed)
	}
}

func TestLastHolderIsStillTried(t *testing.T) {
	b := newBed(t, settings())
	b.turn(EndpointUpdate{Mode: UpdateFull, Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Ready}}})
	b.r.endpoints.servers[1].health = healthScores{byClass: []float64{0}, at: b.now}
	b.query(10, 0, 0)
	if b.sentTo(1) != 1 {
		t.Error("the last holder was shut out")
	}
}

func TestSharedCauseEjectsNobody(t *testing.T) {
	b := newBed(t, settings())
	for _, s := range b.r.endpoints.listed {
		s.health = healthScores{byClass: []float64{0.1}, at: b.now}
	}
	b.query(10, 0, 0)
	expect[HealthCheck](t, b.last, 3)
}

// Queries that the reports forecast to come late are refused with advice, and reports that no
// longer arrive fade, so that a node which refused everything tries again by itself.
func TestOverloadIsRefusedAndForgotten(t *testing.T) {
	b := newBed(t, settings())
	for i := range 3 {
		b.known(RequestID(100+10*i), 200*ms, 1, 2, 3)
	}
	b.query(200, 0, 0)
	b.after(5*ms, reply(1, 40), reply(2, 40), reply(3, 40))
	b.query(300, 0, 0)
	if got := expect[Reject](t, b.last, 1); got[0].RetryAfter <= 0 {
		t.Errorf("refused without advice: %+v", got[0])
	}
	b.after(15 * time.Second)
	b.query(400, 0, 0)
	expect[Reject](t, b.last, 0)
}

func TestFullServerIsPaused(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	first := b.sentTo(1, 2, 3)
	b.after(5*ms, closed(11, 0, first, Overloaded, 5*ms))
	b.query(20, 0, 0)
	for _, p := range of[HealthCheck](b.last) {
		if p.Server == first {
			t.Error("a full server was probed at once")
		}
	}
}

func partial() Settings {
	set := settings()
	set.Classes[0].RequiredWeight, set.Classes[0].MinWeight = 0.9, 0.5
	return set
}

func TestPartialAnswerIsNotMarkedWhole(t *testing.T) {
	b := newBed(t, partial())
	b.query(10, 0, 0, 1)
	b.after(5*ms, reply(1, 0), reply(2, 0), reply(3, 0))
	s := expect[Send](t, b.last, 2)
	expect[Answer](t, b.after(50*ms, closed(s[0].ID, 0, s[0].Server, OK, 50*ms)), 0)
	a := expect[Answer](t, b.after(4935*ms), 1)
	if a[0].Complete {
		t.Error("half of the parts were marked whole")
	}
}

func TestStaleEventsAreIgnored(t *testing.T) {
	b := newBed(t, settings())
	got := b.turn(closed(99, 0, 1, OK, ms), ClientDisconnected{ID: 99}, TimerFired{Token: 99}, HealthCheckResult{Server: 99},
		HealthCheckResult{Server: 1, Code: OK}, GossipMessage{})
	if len(got) != 0 {
		t.Errorf("actions = %v", got)
	}
}

func TestUnusableSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"layout":  func(s *Settings) { s.ReplicasPerShard = 9 },
		"classes": func(s *Settings) { s.Classes = nil },
		"aim":     func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"peers":   func(s *Settings) { s.Coordinators = 0 },
	} {
		set := settings()
		spoil(&set)
		if r, err := New(set, 1); err == nil || r != nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() string {
		b := newBed(t, settings())
		log := ""
		for i := range 40 {
			b.query(RequestID(100+10*i), 0, i%3, (i+1)%3)
			log += fmt.Sprint(b.last, b.after(5*ms, reply(1, 0), reply(2, 0), reply(3, 0)))
		}
		return log
	}
	if first, second := play(), play(); first != second {
		t.Error("two routers with one seed differ")
	}
}

func TestWindow(t *testing.T) {
	w := newSlidingWindow(10 * time.Second)
	for i, v := range []float64{5, 1, 3, 100} {
		w.add(time.Duration(i)*time.Second, v)
	}
	if m := w.median(4*time.Second, 0); m != 4 {
		t.Errorf("median = %v", m)
	}
	if m, n := w.median(11*time.Second, 0), w.count(11*time.Second); m != 51.5 || n != 2 {
		t.Errorf("after a while: median %v of %d", m, n)
	}
	if m := w.median(time.Minute, 7); m != 7 {
		t.Errorf("empty: %v", m)
	}
}

// A class that the router would serve wrongly is refused before anything runs.
func TestStreamsAndSecondStepsAreRefused(t *testing.T) {
	for _, spoil := range []func(*Class){func(c *Class) { c.Stream = true }, func(c *Class) { c.FetchParts = 1 }} {
		set := settings()
		spoil(&set.Classes[0])
		b := newBed(t, set)
		b.query(10, 0, 0)
		expect[Reject](t, b.last, 1)
		expect[Send](t, b.last, 0)
	}
}

// A shard whose replicas are named goes to these and no other, and to nobody once it has gone.
func TestPlacedShardsGoToThoseNamed(t *testing.T) {
	b := newBed(t, settings())
	const moved = 1 << 20
	b.turn(ShardPlacement{Shard: moved, Servers: []ServerID{2, 77}})
	b.query(10, 0, moved)
	b.sentTo(2)
	b.turn(ShardPlacement{Shard: moved})
	b.query(20, 0, moved)
	expect[Reject](t, b.last, 1)
	if len(b.r.endpoints.placements) != 0 {
		t.Error("a shard that has gone is remembered")
	}
}

// A part told that its shard has moved gives way to those that ask for the same, whose attempts it
// takes along but for the one that came to nothing; their weights make the answer whole.
func TestReplacedPartsTakeTheirAttemptsAlong(t *testing.T) {
	set := settings()
	set.MaxAttempts = 2
	b := newBed(t, set)
	b.turn(ShardPlacement{Shard: 100, Servers: []ServerID{1, 2}}, ShardPlacement{Shard: 101, Servers: []ServerID{3}}, ShardPlacement{Shard: 102, Servers: []ServerID{3}})
	b.query(10, 0, 100)
	first := b.sentTo(1, 2)
	b.after(50*ms, closed(11, 0, first, ServerError, 50*ms))
	second := b.sentTo(1, 2)
	child := func(id RequestID, shard int) Arrival {
		return Arrival{ID: id, Shard: shard, Timeout: 4 * time.Second, QueryNumber: b.next, Weight: 0.5}
	}
	stale := closed(11, 1, second, ShardMoved, ms)
	b.after(5*ms, stale, PartsReplaced{IDs: []RequestID{11}, Parts: []Arrival{child(12, 101), child(13, 102)}})
	b.after(5*ms, reply(3, 0))
	sends := expect[Send](t, b.last, 2)
	b.after(20*ms, closed(12, 0, sends[0].Server, OK, 20*ms))
	expect[Reject](t, b.last, 0)
	if got := b.after(20*ms, closed(13, 0, 3, ServerError, 20*ms)); len(of[Reject](got)) != 1 {
		t.Errorf("%v: a child had more attempts than were left of the part it came from", got)
	}
	outliers, servers := b.r.results.outliers, b.r.endpoints.servers
	if outliers.health(b.now, servers[second], 0) < outliers.health(b.now, servers[first], 0) {
		t.Error("a server was blamed for a slice that moved")
	}
}

func TestPartsOfATurnShareACallWhereCallsCost(t *testing.T) {
	for cost, want := range map[time.Duration]int{0: 2, 36 * ms: 1} {
		set := settings()
		set.RequestCost, set.PartsPerRequest = cost, 4
		b := newBed(t, set)
		b.query(10, 0, 0, 1)
		b.after(5*ms, reply(1, 0), reply(2, 0), reply(3, 0))
		called := map[ServerID]bool{}
		for _, s := range expect[Send](t, b.last, 2) {
			called[s.Server] = true
		}
		if len(called) != want {
			t.Errorf("calls at %v: %d servers called, want %d", cost, len(called), want)
		}
	}
}

func TestDownReplicasAreNotHammered(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	for i := range 3 {
		s := b.sentTo(1, 2, 3)
		b.after(ms, closed(11, i, s, ConnectFailed, ms))
	}
	b.query(20, 0, 0)
	expect[Reject](t, b.last, 1) // no replica can take the part now
	b.after(time.Second)
	b.query(30, 0, 0)
	expect[Reject](t, b.last, 0)
}

// A burst that came within one turn shows in no report yet.
func TestBurstWithinATurnIsSeen(t *testing.T) {
	b := newBed(t, settings())
	refused := 0
	for i := range 40 {
		refused += len(of[Reject](b.query(RequestID(100+10*i), 0, 0, 1)))
	}
	if refused == 0 || refused > 37 {
		t.Errorf("%d of 40 queries at once were refused", refused)
	}
}

// Two silent copies must not strand a part: the third may still find the sound replica.
func TestThirdCopyAfterASilentSecond(t *testing.T) {
	b := newBed(t, settings())
	b.query(10, 0, 0)
	seen := map[ServerID]bool{b.sentTo(1, 2, 3): true}
	for range 2 {
		b.after(1500 * ms)
		seen[b.sentTo(1, 2, 3)] = true
	}
	if len(seen) != 3 {
		t.Errorf("attempts met %v, want all three replicas", seen)
	}
}

// A server that fails one class is left out for that class first, and is compared with the
// other holders of the shard: what hits all of them ejects none.
func TestHealthIsByClassWithinTheShard(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	b := newBed(t, set)
	b.query(10, 0, 0)
	s := b.r.endpoints.servers[1]
	b.r.results.outliers.recordFailure(b.now, s, 0)
	b.r.results.outliers.recordFailure(b.now, s, 0)
	for class, want := range []int{2, 3} {
		p := &part{query: &query{classIndex: class}}
		if got := len(b.r.selector.candidates(b.now, p)); got != want {
			t.Errorf("class %d: %d candidates, want %d", class, got, want)
		}
	}
	b.now += 5 * time.Minute
	b.turn()
	if h := b.r.results.outliers.health(b.now, s, 0); h < 0.95 {
		t.Errorf("health after five minutes = %.2f, want it forgotten", h)
	}
}

// Front nodes that hear of a cold server together do not send in step, and the more of them
// there are the less each sends.
func TestColdAllowanceIsShared(t *testing.T) {
	gap := map[int]float64{}
	for _, peers := range []int{1, 40} {
		set := settings()
		set.Coordinators, set.WarmupInitialShare, set.WarmupDuration, set.WarmupOverloadFactor = peers, 0.2, 15*time.Second, 3
		b := newBed(t, set)
		gap[peers] = b.r.slowStart.gap(b.now, &server{endpoint: Endpoint{StartedAt: b.now}}, 1)
	}
	if gap[40] < 30*gap[1] {
		t.Errorf("gaps = %v", gap)
	}
}

// The slowest of many parts takes longer than their mean: where nothing late can be called back, a
// query of many parts is refused at a load at which one of few parts is let in.
func TestManyPartsAreAdmittedLater(t *testing.T) {
	for n, refused := range map[int]int{1: 0, 60: 1} {
		set := settings()
		set.Hedging, set.Shards = false, 60
		b := newBed(t, set)
		b.known(10, 200*ms, 1, 2, 3)
		b.query(20, 0, 0)
		b.after(5*ms, reply(1, 1), reply(2, 1), reply(3, 1)) // about 0.4 s a part, of an aim of 2 s
		shards := make([]int, n)
		for i := range shards {
			shards[i] = i
		}
		b.after(5 * ms)
		b.query(1000, 0, shards...)
		expect[Reject](t, b.last, refused)
	}
}

// With the way to two replicas cut their last reports stand still; the forecast is of the one that
// answers, and of all when none does.
func TestForecastLeavesOutTheUnreachable(t *testing.T) {
	b := newBed(t, settings())
	for _, id := range []ServerID{1, 2} {
		b.r.endpoints.servers[id].checks.consecutiveFailures = maxConsecutiveCheckFailures
	}
	if got := b.r.admission.forecaster.reachableReplicas(b.now, 0); len(got) != 1 || got[0].id != 3 {
		t.Errorf("reachable: %d replicas", len(got))
	}
	b.r.endpoints.servers[3].checks.consecutiveFailures = maxConsecutiveCheckFailures
	if got := b.r.admission.forecaster.reachableReplicas(b.now, 0); len(got) != 3 {
		t.Errorf("reachable: %d replicas with all cut off, want all", len(got))
	}
}

// A replica that was sick takes one part at a time until it has proved sound.
func TestSickReplicaTakesOnePartAtATime(t *testing.T) {
	b := newBed(t, settings())
	s := b.r.endpoints.servers[1]
	s.health = healthScores{byClass: []float64{0.7}, at: b.now}
	p := &part{query: &query{}}
	for out, want := range []int{3, 2} {
		s.inFlight.count = out
		if got := len(b.r.selector.candidates(b.now, p)); got != want {
			t.Errorf("with %d parts out: %d candidates, want %d", out, got, want)
		}
	}
}

// A fleet of 160 servers, a third of them silent: parts still find a sound holder by second copies,
// and the silent servers are left out of most races once they are known.
func TestLargeFleetWithASilentThird(t *testing.T) {
	set := settings()
	set.Shards, set.Cells, set.Coordinators = 160, 160, 60
	b := newBed(t, set)
	entries := make([]Endpoint, 160)
	for i := range entries {
		entries[i] = Endpoint{Server: ServerID(i + 1), Cell: i, State: Ready}
	}
	b.turn(EndpointUpdate{Mode: UpdateFull, Endpoints: entries})
	silent := func(s ServerID) bool { return s%3 == 0 }
	type sent struct {
		id RequestID
		no int
		s  ServerID
		at time.Duration
	}
	var open []sent
	tries := map[RequestID]int{}
	toSilent, answered, asked := [2]int{}, 0, 0
	var probes []HealthCheck
	for turn := range 4000 { // 20 s
		b.now += 5 * ms
		var events []Event
		for _, p := range probes {
			events = append(events, HealthCheckResult{Server: p.Server, Code: OK, Latency: 4 * ms, LoadReport: []float64{0.5, 1}})
		}
		open = slices.DeleteFunc(open, func(o sent) bool {
			if silent(o.s) || b.now < o.at+150*ms {
				return false
			}
			events = append(events, closed(o.id, o.no, o.s, OK, b.now-o.at))
			return true
		})
		if turn%40 == 0 && turn < 3600 {
			asked++
			shards := make([]int, 12)
			for i := range shards {
				shards[i] = (asked*37 + i*13) % 160
			}
			events = append(events, b.arrivals(RequestID(1000*asked), 0, shards...)...)
		}
		b.turn(events...)
		probes = of[HealthCheck](b.last)
		answered += len(of[Answer](b.last))
		for _, s := range of[Send](b.last) {
			open = append(open, sent{s.ID, tries[s.ID], s.Server, b.now})
			tries[s.ID]++
			if silent(s.Server) {
				toSilent[turn/2000]++
			}
		}
	}
	if answered < asked*9/10 {
		t.Errorf("%d of %d queries answered", answered, asked)
	}
	if toSilent[0] == 0 || toSilent[1] > toSilent[0]/2 {
		t.Errorf("parts sent to silent servers in the first and the second 10 s: %v", toSilent)
	}
}

// Old reports that have a query refused are asked for anew: with all refused no answer brings any.
func TestRefusalRenewsOldReports(t *testing.T) {
	b := newBed(t, settings())
	for i := range 3 {
		b.known(RequestID(100+10*i), 200*ms, 1, 2, 3)
	}
	b.query(200, 0, 0)
	b.after(5*ms, reply(1, 90), reply(2, 90), reply(3, 90))
	last := expect[Send](t, b.last, 1)[0].Server
	b.after(200*ms, closed(201, 0, last, OK, 200*ms))
	b.after(1500 * ms) // over five median latencies
	b.query(300, 0, 0)
	expect[Reject](t, b.last, 1)
	expect[HealthCheck](t, b.last, 3)
}

// Only what stood in the way is asked anew: in a fleet of hundreds the probes of all parts outnumbered the parts.
func TestRefusalAsksTheHotShardAlone(t *testing.T) {
	set := settings()
	set.ReplicasPerShard = 1 // shard i is held by server i+1 alone
	b := newBed(t, set)
	b.known(100, 200*ms, 1, 2, 3)
	b.query(200, 0, 0, 1, 2)
	b.after(5*ms, reply(1, 90), reply(2, 0), reply(3, 0))
	b.after(200*ms, closed(201, 0, 1, OK, 200*ms), closed(202, 0, 2, OK, 200*ms), closed(203, 0, 3, OK, 200*ms))
	b.after(1500 * ms)
	b.query(300, 0, 0, 1, 2)
	expect[Reject](t, b.last, 1)
	if p := expect[HealthCheck](t, b.last, 1)[0]; p.Server != 1 {
		t.Errorf("server %d was asked, 1 stood in the way", p.Server)
	}
}

// A server that says that each request takes it ten times as long has ten times the work in hand, and for ten times
// as long: a node among hundreds meets it too seldom to find out by its own parts.
func TestReportedServiceTimeIsWork(t *testing.T) {
	set := settings()
	set.ReportFields = []ReportField{FieldInFlight, FieldServiceTime}
	b := newBed(t, set)
	for id, each := range map[ServerID]float64{1: 200, 2: 20, 3: 20} {
		b.turn(HealthCheckResult{Server: id, Code: OK, LoadReport: []float64{8, each}})
	}
	slow, usual := b.r.endpoints.servers[1], b.r.endpoints.servers[2]
	if got := b.r.results.load.load(b.now, slow) / b.r.results.load.load(b.now, usual); got < 9 || got > 10.1 {
		t.Errorf("ten times the service time is %.1f times the work where the node meets nobody", got)
	}
	b.after(3 * time.Second) // 30 median latencies, of which others' work halves each 15, or each 150 there
	if left := b.r.results.load.load(b.now, usual); left > 3.1 {
		t.Errorf("the usual server's old report still counts %.1f", left)
	}
	if left := b.r.results.load.load(b.now, slow); left < 70 {
		t.Errorf("the slow server's old report counts %.1f only", left)
	}
	b.query(100, 0, 0)
	b.after(5*ms, HealthCheckResult{Server: 1, Code: OK, LoadReport: []float64{1, 200}}, HealthCheckResult{Server: 2, Code: OK, LoadReport: []float64{4, 20}},
		HealthCheckResult{Server: 3, Code: OK, LoadReport: []float64{6, 20}})
	if to := expect[Send](t, b.last, 1)[0].Server; to != 2 {
		t.Errorf("the part went to server %d, not to the one that is done first", to)
	}
}

// A node that meets its servers often knows better than their reports, which are late and chance in part.
func TestOwnOutcomesGoBeforeReportedPace(t *testing.T) {
	set := settings()
	set.ReportFields = []ReportField{FieldInFlight, FieldServiceTime}
	b := newBed(t, set)
	for i := range 300 { // 30 a second, at three servers
		b.known(RequestID(1000+10*i), 30*ms, 1, 2, 3)
	}
	for id, each := range map[ServerID]float64{1: 200, 2: 20, 3: 20} {
		b.turn(HealthCheckResult{Server: id, Code: OK, LoadReport: []float64{8, each}})
	}
	if got := b.r.results.load.relativeServiceTime(b.now, b.r.endpoints.servers[1]); got > 1.5 {
		t.Errorf("a reported pace of 10 counts %.1f at a node with 300 outcomes of its own", got)
	}
}

// A report weighs by the squares of its own age and of that of the node's outcomes: next to nothing where the node meets
// each server four times a second, nearly all where it does so once in six.
func TestReportsWeighByAge(t *testing.T) {
	for met, bounds := range map[int][2]float64{120: {0.03, 0.1}, 5: {0.95, 0.99}} {
		b := newBed(t, settings())
		for range met {
			b.r.results.latencies.all.add(b.now, 1)
		}
		b.turn()
		if w := b.r.results.load.serviceTimeWeight; w < bounds[0] || w > bounds[1] {
			t.Errorf("%d outcomes in 10 s at 3 servers: weight %.3f, not in %v", met, w, bounds)
		}
	}
}

// A server back among hundreds of nodes is met so seldom that, by what this node alone took lately, it would stay
// idle until it is warm while its twins jam: reports tell how busy the warm are, and how fast the cold one is by now.
func TestColdAllowanceFollowsReports(t *testing.T) {
	gap := func(inflight, each float64, age time.Duration) float64 {
		set := settings()
		set.WeightsAreCapacities, set.ReportFields = true, []ReportField{FieldInFlight, FieldServiceTime, FieldQueueLength}
		set.WarmupInitialShare, set.WarmupDuration, set.WarmupOverloadFactor = 0.2, 15*time.Second, 2
		b := newBed(t, set)
		b.turn(EndpointUpdate{Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Ready, Weight: 2, StartedAt: b.now - age},
			{Server: 2, Cell: 1, State: Ready, Weight: 2}, {Server: 3, Cell: 2, State: Ready, Weight: 2}}})
		b.known(100, 20*ms, 2, 3, 2, 3, 2, 3, 2, 3, 2, 3, 2, 3)
		b.turn(HealthCheckResult{Server: 1, Code: OK, LoadReport: []float64{0, each, 0}}, HealthCheckResult{Server: 2, Code: OK, LoadReport: []float64{inflight, 20, 0}},
			HealthCheckResult{Server: 3, Code: OK, LoadReport: []float64{inflight, 20, 0}})
		b.r.results.latencies.all.add(b.now, float64(10*time.Second)) // the floor of one part at a time does not hide the rest
		b.r.results.latencies.all.add(b.now, float64(10*time.Second))
		b.after(0)
		return b.r.slowStart.gap(b.now, b.r.endpoints.servers[1], 1)
	}
	if idle, busy := gap(0.8, 20, 0), gap(2, 20, 0); idle > 0.8*busy {
		t.Errorf("gap %.3g where the warm are two fifths busy, %.3g where wholly", idle, busy)
	}
	if fast, slow := gap(2, 25, 6*time.Second), gap(2, 80, 6*time.Second); fast > 0.9*slow {
		t.Errorf("gap %.3g where it says it is nearly warm, %.3g where it says it is not", fast, slow)
	}
	if young, silent := gap(2, 25, time.Second), gap(2, 0, time.Second); young != silent {
		t.Errorf("gap %.3g by the word of one that has measured nothing yet, %.3g without", young, silent)
	}
}

// The gap to a cold server shrinks as it warms: one set by the allowance of its start would outlast that.
func TestColdGapIsThatOfNow(t *testing.T) {
	set := settings()
	set.Coordinators, set.WarmupInitialShare, set.WarmupDuration, set.WarmupOverloadFactor = 40, 0.1, 15*time.Second, 2
	b := newBed(t, set)
	b.turn(EndpointUpdate{Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Ready, StartedAt: b.now}}})
	s := b.r.endpoints.servers[1]
	s.slowStart.gapStartedAt = b.now
	first := time.Duration(b.r.slowStart.gap(b.now, s, 1))
	b.after(14 * time.Second)
	if now := time.Duration(b.r.slowStart.gap(b.now, s, 1)); first < 15*time.Second || !b.r.selector.eligibility.mayGetAttemptSoon(b.now, s) {
		t.Errorf("gap %v at the start, %v now: shut still", first, now)
	}
}

// A jam at one shard says nothing of the room elsewhere.
func TestJammedShardPressesNoOther(t *testing.T) {
	set := settings()
	set.ReplicasPerShard = 1
	set.ReportFields = []ReportField{FieldInFlight, FieldServiceTime}
	b := newBed(t, set)
	b.known(100, 20*ms, 1, 2, 3)
	b.turn(HealthCheckResult{Server: 1, Code: OK, LoadReport: []float64{49, 1600}}, HealthCheckResult{Server: 2, Code: OK, LoadReport: []float64{0, 20}},
		HealthCheckResult{Server: 3, Code: OK, LoadReport: []float64{0, 20}})
	b.query(200, 0, 0, 1, 2)
	expect[Reject](t, b.last, 1)
	b.query(300, 0, 1, 2)
	if b.r.admission.isOverloaded(b.now, b.r.queries.byID[300].class) {
		t.Error("a jammed shard counts as want of room")
	}
}

// A lost shard has its own queries refused and does not press the others.
func TestLostShardPressesNoOther(t *testing.T) {
	set := settings()
	set.ReplicasPerShard = 1
	b := newBed(t, set)
	b.turn(EndpointUpdate{Mode: UpdateFull, Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Ready}, {Server: 3, Cell: 2, State: Ready}}})
	b.query(10, 0, 1)
	expect[Reject](t, b.last, 1)
	b.query(20, 0, 0)
	if b.r.admission.isOverloaded(b.now, b.r.queries.byID[20].class) {
		t.Error("a lost shard counts as want of room")
	}
}

// A real coordinator has memory for so many queries and parts; past that it must refuse.
func TestHoldsNoMoreThanItMay(t *testing.T) {
	set := settings()
	set.MaxOpen = 5
	b := newBed(t, set)
	b.query(10, 0, 0)
	b.query(20, 0, 0, 1)
	expect[Reject](t, b.last, 0)
	b.query(30, 0, 0)
	if r := expect[Reject](t, b.last, 1)[0]; r.ID != 30 || r.RetryAfter <= 0 {
		t.Errorf("%+v", r)
	}
	b.turn(ClientDisconnected{ID: 10})
	b.query(40, 0, 0)
	expect[Reject](t, b.last, 0)
}

// Where crossing zones costs, a near-tie goes to this zone; not so while queries are refused, when
// every bit of room counts.
func TestNearTiesStayInTheZone(t *testing.T) {
	for _, c := range []struct {
		cost    float64
		pressed bool
		want    ServerID
	}{{0.045, false, 1}, {0, false, 2}, {0.045, true, 2}} {
		set := settings()
		set.CrossZoneCost = c.cost
		b := newBed(t, set)
		b.turn(EndpointUpdate{Mode: UpdateDelta, Endpoints: []Endpoint{{Server: 2, Cell: 1, State: Ready, Zone: 1}, {Server: 3, Cell: 2, State: Ready, Zone: 2}}})
		if c.pressed {
			b.r.admission.overloadedAt = b.now
		}
		b.query(10, 0, 0)
		if s := expect[Send](t, b.after(5*ms, reply(1, 1), reply(2, 0), reply(3, 9)), 1); s[0].Server != c.want {
			t.Errorf("cost %v, pressed %v: sent to %d, want %d", c.cost, c.pressed, s[0].Server, c.want)
		}
	}
}

// Two sick replicas with long queues refuse nothing while the third is idle.
func TestOneSoundReplicaIsEnough(t *testing.T) {
	b := newBed(t, settings())
	b.known(1, 20*ms, 1)
	b.query(10, 0, 0)
	b.after(5*ms, reply(1, 0), reply(2, 99), reply(3, 99))
	b.query(20, 0, 0)
	expect[Reject](t, b.last, 0)
}

// A server that turns parts away and serves nothing stands still: its pauses grow, so that a part does not
// spend its attempts within moments; meanwhile queries wait for it. One that serves again starts anew.
func TestFullServerIsWaitedFor(t *testing.T) {
	set := settings()
	set.ReplicasPerShard = 1
	b := newBed(t, set)
	b.known(1, 20*ms, 1)
	b.query(10, 0, 0)
	last := time.Duration(0)
	for i := range 3 {
		b.sentTo(1)
		b.after(ms, closed(11, i, 1, Overloaded, ms))
		pause := time.Duration(0)
		for ; len(of[HealthCheck](b.last)) == 0; pause += ms {
			b.after(ms)
		}
		if pause <= last {
			t.Errorf("pause %d lasts %v after %v", i, pause, last)
		}
		last = pause
	}
	b.sentTo(1)
	b.after(ms, closed(11, 3, 1, Overloaded, ms)) // its last attempt
	expect[Reject](t, b.last, 1)
	expect[Reject](t, b.query(20, 0, 0), 0)
	for len(of[Send](b.last)) == 0 {
		b.after(ms, reply(1, 0))
	}
	b.after(20*ms, closed(21, 0, 1, OK, 20*ms))
	if b.r.endpoints.servers[1].backoff.count != 0 {
		t.Error("what was served does not end the pauses")
	}
}

// The module tells how many servers it avoids: those that drain, are down, or look sick
// beside the others; one that is left alone long enough no longer counts.
func TestListedTellsWhatIsAvoided(t *testing.T) {
	b := newBed(t, settings())
	want := func(known, avoided int) {
		t.Helper()
		if k, a := b.r.EndpointCounts(b.now); k != known || a != avoided {
			t.Errorf("%d known, %d avoided; want %d and %d", k, a, known, avoided)
		}
	}
	next := RequestID(10)
	try := func(s ServerID, code Code) { // a part that ends so at that server
		t.Helper()
		next += 10
		b.query(next, 0, 0)
		b.sentTo(s)
		want(2, 0)
		b.after(ms, closed(next+1, 0, s, code, ms))
		b.turn(ClientDisconnected{ID: next})
	}
	want(3, 0)
	b.turn(EndpointUpdate{Mode: UpdateDelta, Endpoints: []Endpoint{{Server: 2, Cell: 1, State: Draining}}})
	want(3, 1)
	b.turn(EndpointUpdate{Mode: UpdateDelta, Endpoints: []Endpoint{{Server: 2, Cell: 1, State: Removed}}})
	want(2, 0)
	try(1, Overloaded) // is left alone for a moment and no more
	want(2, 0)
	b.now += time.Second
	try(1, ConnectFailed)
	want(2, 1)
	b.now += time.Second
	want(2, 0)
	try(3, ServerError)
	try(3, ServerError)
	want(2, 0) // it may only be the turn of others
	b.now += idleBeforeExclusion
	want(2, 1)
	b.now += 2 * time.Minute
	want(2, 0)
}

// With more front nodes a reply counts for longer, so that the servers are not probed more
// often for it. It counts from when its probe was sent: the slowest to reply is not the freshest.
func TestRepliesLastByTheNumberOfNodes(t *testing.T) {
	for _, peers := range []int{1, 40} {
		set := settings()
		set.Coordinators = peers
		b := newBed(t, set)
		b.lasting = true
		b.query(10, 0, 0)
		expect[HealthCheck](t, b.last, 3)
		b.after(5*ms, reply(1, 3), reply(2, 0)) // the third stands still
		b.after(5 * ms)
		b.turn(ClientDisconnected{ID: 10})
		b.now += replyValidityPerCoordinator*time.Duration(peers) - 11*ms
		b.query(20, 0, 0)
		if sends := expect[Send](t, b.last, 1); sends[0].Server != 2 {
			t.Errorf("%d nodes: sent to %d", peers, sends[0].Server)
		}
		expect[HealthCheck](t, b.last, 0) // the third was asked within that time
		b.after(ms)
		b.query(30, 0, 0)
		expect[Send](t, b.last, 0)
		expect[HealthCheck](t, b.last, 3)
	}
}

// A node that is to be warm asks each of its servers once; one whose room changes holds no more than that.
func TestWarmAndRoom(t *testing.T) {
	b := newBed(t, settings())
	b.turn(EndpointUpdate{Mode: UpdateDelta, Endpoints: []Endpoint{{Server: 3, Cell: 2, State: Draining}}})
	expect[HealthCheck](t, b.turn(WarmUp{}), 2)
	b.turn(CapacityChange{MaxOpen: 2})
	expect[Reject](t, b.query(10, 0, 0, 1), 1)
	b.turn(CapacityChange{MaxOpen: 3})
	expect[Reject](t, b.query(20, 0, 0, 1), 0)
}

// Where every server is late, copies would add to the load that makes them late: they stop at a
// share of what was taken. One part that is late among others still has its copy.
func TestCopiesStopWhereAllIsLate(t *testing.T) {
	for queries, most := range map[int]int{1: 3, 120: 40} {
		b := newBed(t, settings())
		b.known(1, 20*ms, 1, 2, 3)
		for i := range queries {
			b.turn(b.arrivals(RequestID(10+10*i), 0, 0)...)
		}
		sent := 0
		for range 60 { // nothing is answered; each part is overdue after 80 ms
			b.after(5*ms, reply(1, 0), reply(2, 0), reply(3, 0))
			sent += len(of[Send](b.last))
		}
		if copies := sent - queries; copies < 1 || copies > most {
			t.Errorf("%d copies of %d late parts, want 1 to %d", copies, queries, most)
		}
	}
}

// A piece of a part that was answered counts, and with what is asked for the rest makes the answer whole.
func TestAPieceOfAPartCounts(t *testing.T) {
	b := newBed(t, settings())
	b.turn(ShardPlacement{Shard: 100, Servers: []ServerID{1}}, ShardPlacement{Shard: 101, Servers: []ServerID{3}})
	b.query(10, 0, 100)
	b.sentTo(1)
	rest := Arrival{ID: 12, Shard: 101, Timeout: 4 * time.Second, QueryNumber: b.next, Weight: 0.25}
	b.after(50*ms, closed(11, 0, 1, ShardMoved, 50*ms), PartsReplaced{IDs: []RequestID{11}, Parts: []Arrival{rest}, ReceivedWeight: 0.75})
	expect[Answer](t, b.last, 0)
	b.sentTo(3)
	if a := expect[Answer](t, b.after(50*ms, closed(12, 0, 3, OK, 50*ms)), 1); !a[0].Complete {
		t.Error("all was in and the answer is not whole")
	}
	b.query(20, 0, 100)
	b.sentTo(1)
	b.after(50*ms, closed(21, 0, 1, ShardMoved, 50*ms), PartsReplaced{IDs: []RequestID{21}, ReceivedWeight: 0.75})
	expect[Reject](t, b.last, 1) // nobody can give the rest, and all is needed
}

// A slice that moves to a cold server alone brings no more there than the cold rule allows.
func TestASliceMovedToAColdServerSparesIt(t *testing.T) {
	set := settings()
	set.WarmupInitialShare, set.WarmupDuration, set.WarmupOverloadFactor = 0.2, 15*time.Second, 3
	b := newBed(t, set)
	b.turn(EndpointUpdate{Mode: UpdateDelta, Endpoints: []Endpoint{{Server: 9, Cell: 2, State: Ready, StartedAt: b.now}}},
		ShardPlacement{Shard: 100, Servers: []ServerID{9}})
	sent, allowed := 0, 2.0
	for i := range 200 {
		out := append(of[Send](b.query(RequestID(1000+10*i), 0, 100)), of[Send](b.after(5*ms, reply(9, 0)))...)
		for _, s := range out {
			sent += len(of[Send](b.turn(closed(s.ID, 0, 9, OK, 20*ms))))
		}
		sent += len(out)
		allowed += float64(5*ms) / b.r.slowStart.gap(b.now, b.r.endpoints.servers[9], b.r.results.latencies.relativeWork(b.now, 0))
	}
	if sent == 0 || float64(sent) > allowed {
		t.Errorf("%d parts within a second to a cold server, at most %.1f are allowed", sent, allowed)
	}
}

// A part whose body is gone is sent no more, neither again nor as a second copy, and its query ends as
// soon as the rest cannot reach the floor: refused where nothing can have run, failed otherwise.
func TestABareQueryEndsAtOnce(t *testing.T) {
	for _, ran := range []bool{false, true} {
		b := newBed(t, settings())
		b.query(10, 0, 0)
		s := b.sentTo(1, 2, 3)
		b.turn(BodyEvicted{ID: 11})
		expect[Send](t, b.after(4*time.Second), 0) // long overdue: no copy
		expect[Reject](t, b.last, 0)
		code := map[bool]Code{false: Overloaded, true: ConnReset}[ran]
		out := b.after(5*ms, closed(11, 0, s, code, time.Second))
		if len(of[Fail](out)) != map[bool]int{true: 1}[ran] || len(of[Reject](out)) != map[bool]int{false: 1}[ran] {
			t.Errorf("ran %v: %v", ran, out)
		}
	}
	b := newBed(t, settings())
	b.turn(b.arrivals(10, 0, 0)...)
	b.turn(BodyEvicted{ID: 11}) // before anything was sent
	expect[Send](t, b.last, 0)
	expect[Reject](t, b.last, 1)
}

// Where the floor can be reached without the bare part, its query is answered in part, and says so.
func TestABareQueryIsAnsweredInPartWhereItMay(t *testing.T) {
	b := newBed(t, partial())
	b.query(10, 0, 0, 1)
	b.after(5*ms, reply(1, 0), reply(2, 0), reply(3, 0))
	s := expect[Send](t, b.last, 2)
	b.turn(BodyEvicted{ID: s[0].ID}, BodyEvicted{ID: s[1].ID})
	b.after(20*ms, closed(s[0].ID, 0, s[0].Server, OK, 20*ms))
	if a := expect[Answer](t, b.after(5*ms, closed(s[1].ID, 0, s[1].Server, ServerError, 25*ms)), 1); a[0].Complete {
		t.Error("marked whole without the bare part")
	}
}
