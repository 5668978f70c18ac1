package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestSlowStartLimitsAttempts(t *testing.T) {
	h := newHarness(t, slowStartSettings(0.2, 3))
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 1, Cell: 0, State: Ready, StartedAt: h.now - time.Second})
	sent := 0
	for i := range 20 {
		h.startQuery(RequestID(10+10*i), 0, 0)
		server := h.sendAfterChecks(1, 2, 3)
		if server == 1 {
			sent++
		}
		h.advance(15*ms, attemptResult(RequestID(11+10*i), 0, server, OK, 15*ms))
	}
	if sent == 0 || sent > 4 { // at most 0.7 * 3 * 0.25 of the about eight parts that a warm server answers
		t.Errorf("%d of 20 parts within half a second went to the server in slow start, want 1 to 4", sent)
	}
}

// Guards against coordinators that together send a server more than it can take.
func TestSlowStartGapGrowsWithCoordinators(t *testing.T) {
	gaps := map[int]float64{}
	for _, coordinators := range []int{1, 40} {
		settings := slowStartSettings(0.2, 3)
		settings.Coordinators = coordinators
		h := newHarness(t, settings)
		s := &server{endpoint: Endpoint{StartedAt: h.now}}
		gaps[coordinators] = h.router.slowStart.gap(h.now, s, 1)
	}
	if gaps[40] < 30*gaps[1] {
		t.Errorf("gaps = %v, want the gap with 40 coordinators at least 30 times as long as with 1", gaps)
	}
}

// reportedGap returns the gap at a server of the given age and service time; the other servers report inFlight.
func reportedGap(t *testing.T, inFlight, serviceTime float64, age time.Duration) float64 {
	t.Helper()
	settings := slowStartSettings(0.2, 2)
	settings.WeightsAreCapacities = true
	settings.ReportFields = []ReportField{FieldInFlight, FieldServiceTime, FieldQueueLength}
	h := newHarness(t, settings)
	endpoints := readyEndpoints(3)
	for i := range endpoints {
		endpoints[i].Weight = 2
	}
	endpoints[0].StartedAt = h.now - age
	h.updateEndpoints(UpdateDelta, endpoints...)
	h.runQuery(100, 20*ms, 2, 3, 2, 3, 2, 3, 2, 3, 2, 3, 2, 3)
	h.turn(reportReply(1, 0, serviceTime, 0),
		reportReply(2, inFlight, 20, 0), reportReply(3, inFlight, 20, 0))
	for range 2 { // a high median latency, so that the lower bound of one part at a time does not apply
		h.router.results.latencies.all.add(h.now, float64(10*time.Second))
	}
	h.advance(0)
	return h.router.slowStart.gap(h.now, h.server(1), 1)
}

// Guards against a server that stays idle in slow start because each coordinator has few samples of it.
func TestSlowStartGapFollowsLoadReports(t *testing.T) {
	if idle, busy := reportedGap(t, 0.8, 20, 0), reportedGap(t, 2, 20, 0); idle > 0.8*busy {
		t.Errorf("gap = %.3g with the warm servers at 40 %%, %.3g with them at 100 %%; want at most 0.8 of it",
			idle, busy)
	}
	fast, slow := reportedGap(t, 2, 25, 6*time.Second), reportedGap(t, 2, 80, 6*time.Second)
	if fast > 0.9*slow {
		t.Errorf("gap = %.3g with a service time near the median, %.3g with four times it; want at most 0.9 of it",
			fast, slow)
	}
	young, silent := reportedGap(t, 2, 25, time.Second), reportedGap(t, 2, 0, time.Second)
	if young != silent {
		t.Errorf("gap = %.3g with a report too early to count, %.3g without; want equal gaps", young, silent)
	}
}

// Guards against a gap that is computed once at the start: it would outlast the slow start.
func TestSlowStartGapShrinksWithAge(t *testing.T) {
	settings := slowStartSettings(0.1, 2)
	settings.Coordinators = 40
	h := newHarness(t, settings)
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 1, Cell: 0, State: Ready, StartedAt: h.now})
	s := h.server(1)
	s.slowStart.gapStartedAt = h.now
	first := time.Duration(h.router.slowStart.gap(h.now, s, 1))
	h.advance(14 * time.Second)
	now := time.Duration(h.router.slowStart.gap(h.now, s, 1))
	if first < 15*time.Second || !h.router.selector.eligibility.mayGetAttemptAfterBackoff(h.now, s) {
		t.Errorf("gap = %v at the start, want at least 15s; %v after 14 s, want an attempt allowed", first, now)
	}
}

// Guards against a placement that sends all of a shard's parts to a server in slow start.
func TestSlowStartLimitsAttemptsOfMovedShard(t *testing.T) {
	h := newHarness(t, slowStartSettings(0.2, 3))
	started := Endpoint{Server: 9, Cell: 2, State: Ready, StartedAt: h.now}
	h.turn(EndpointUpdate{Endpoints: []Endpoint{started}}, ShardPlacement{Shard: 100, Servers: []ServerID{9}})
	sent, allowed := 0, 2.0
	for i := range 200 {
		sends := actionsOf[Send](h.startQuery(RequestID(1000+10*i), 0, 100))
		sends = append(sends, actionsOf[Send](h.advance(5*ms, checkReply(9, 0)))...)
		for _, send := range sends {
			sent += len(actionsOf[Send](h.turn(attemptResult(send.ID, 0, 9, OK, 20*ms))))
		}
		sent += len(sends)
		work := h.router.results.latencies.relativeWork(h.now, 0)
		allowed += float64(5*ms) / h.router.slowStart.gap(h.now, h.server(9), work)
	}
	if sent == 0 || float64(sent) > allowed {
		t.Errorf("%d parts within a second to a server in slow start, want 1 to %.1f", sent, allowed)
	}
}

// newTestSlowStart returns a slow start with an initial share of 0.2, an overload factor of 2 and no samples, and a
// server that started at the given time.
func newTestSlowStart(startedAt time.Duration) (*slowStart, *server) {
	settings := slowStartSettings(0.2, 2)
	rule := newSlowStart(&settings, rand.New(rand.NewPCG(1, 2)), newResultRecorder(&settings))
	s := newServer(1)
	s.endpoint.StartedAt = startedAt
	rule.updateWarmRate(startedAt, []*server{s})
	return rule, s
}

func TestSlowStartGapByAgeAndWork(t *testing.T) {
	startedAt := time.Minute
	for name, c := range map[string]struct {
		age      time.Duration
		work     float64
		capacity float64 // as a share of the full capacity
	}{
		"at the start": {0, 1, 0.2},
		"half way":     {7500 * ms, 1, 0.6},
		"at the end":   {15 * time.Second, 1, 1},
		"half work":    {0, 0.5, 0.2},
		"double work":  {7500 * ms, 2, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			rule, s := newTestSlowStart(startedAt)
			partsAtATime := warmupLoadShare * c.capacity * 2
			want := c.work * float64(defaultLatency) / partsAtATime
			if got := rule.gap(startedAt+c.age, s, c.work); math.Abs(got/want-1) > 1e-9 {
				t.Errorf("gap = %v, want %v", time.Duration(got), time.Duration(want))
			}
		})
	}
}

func TestSlowStartAllows(t *testing.T) {
	startedAt := time.Minute
	rule, s := newTestSlowStart(startedAt)
	gap := time.Duration(rule.gap(startedAt, s, 1))
	for name, c := range map[string]struct {
		startedAt time.Duration
		gapAge    time.Duration
		now       time.Duration
		want      bool
	}{
		"started long ago":   {0, 0, startedAt, true},
		"slow start is over": {startedAt, 0, startedAt + 15*time.Second, true},
		"within the gap":     {startedAt, gap - 1, startedAt, false},
		"gap is over":        {startedAt, gap, startedAt, true},
	} {
		t.Run(name, func(t *testing.T) {
			s.endpoint.StartedAt = c.startedAt
			s.slowStart.gapStartedAt = c.now - c.gapAge
			if got := rule.allows(c.now, s); got != c.want {
				t.Errorf("allows = %v, want %v", got, c.want)
			}
		})
	}
}

func TestSlowStartStartNextGap(t *testing.T) {
	now := time.Minute
	rule, s := newTestSlowStart(now)
	gap := time.Duration(rule.gap(now, s, 1))
	for name, c := range map[string]struct {
		startedAt time.Duration
		gapAge    time.Duration
		wantAge   time.Duration // of the next gap
	}{
		"on time":           {now, gap, 0},
		"late by half":      {now, gap + gap/2, gap / 2},
		"late by many gaps": {now, 10 * gap, gap},
		"not in slow start": {0, gap, gap},
	} {
		t.Run(name, func(t *testing.T) {
			s.endpoint.StartedAt = c.startedAt
			s.slowStart.gapStartedAt = now - c.gapAge
			rule.startNextGap(now, s, 0)
			if got := now - s.slowStart.gapStartedAt; got != c.wantAge {
				t.Errorf("next gap began %v ago, want %v", got, c.wantAge)
			}
		})
	}
}

// Guards against coordinators that all send when a server starts, or all at the end of its first gap.
func TestSlowStartFirstGapBeginsAtRandomPoint(t *testing.T) {
	now := time.Minute
	rule, s := newTestSlowStart(now)
	gap := time.Duration(rule.gap(now, s, 1))
	ages := map[time.Duration]bool{}
	for range 100 {
		rule.startFirstGap(now, s)
		age := now - s.slowStart.gapStartedAt
		if age < 0 || age > gap {
			t.Fatalf("first gap of %v began %v ago, want 0 to %v", gap, age, gap)
		}
		ages[age] = true
	}
	if len(ages) < 2 {
		t.Error("all first gaps begin at the same time, want them spread")
	}
}
