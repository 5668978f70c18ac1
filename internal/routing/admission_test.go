package routing

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against rejecting all queries forever after an overload: no new load reports arrive while queries
// are rejected, so the weight of the old reports has to decay with their age.
func TestAdmissionRejectsOnOverloadUntilReportsAge(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 3 {
		h.runQuery(RequestID(100+10*i), 200*ms, 1, 2, 3)
	}
	h.startQuery(200, 0, 0)
	h.advance(5*ms, checkReply(1, 40), checkReply(2, 40), checkReply(3, 40))
	h.startQuery(300, 0, 0)
	if got := wantActions[Reject](t, h.actions, 1); got[0].RetryAfter <= 0 {
		t.Errorf("RetryAfter = %v, want above 0: %+v", got[0].RetryAfter, got[0])
	}
	h.advance(15 * time.Second)
	h.startQuery(400, 0, 0)
	wantActions[Reject](t, h.actions, 0)
}

func TestAdmissionRejectsUnsupportedClasses(t *testing.T) {
	for name, change := range map[string]func(*Class){
		"stream":      func(c *Class) { c.Stream = true },
		"second step": func(c *Class) { c.FetchParts = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			change(&settings.Classes[0])
			h := newHarness(t, settings)
			h.startQuery(10, 0, 0)
			wantActions[Reject](t, h.actions, 1)
			wantActions[Send](t, h.actions, 0)
		})
	}
}

// Guards against admitting a whole burst of queries in one turn because no load report shows it yet.
func TestAdmissionRejectsBurstWithinOneTurn(t *testing.T) {
	h := newHarness(t, testSettings())
	rejected := 0
	for i := range 40 {
		rejected += len(actionsOf[Reject](h.startQuery(RequestID(100+10*i), 0, 0, 1)))
	}
	if rejected == 0 || rejected > 37 {
		t.Errorf("%d of 40 queries in one turn were rejected, want 1 to 37", rejected)
	}
}

// Guards against a limit that ignores the number of parts: the slowest of many parts takes longer than their
// mean.
func TestAdmissionRejectsManyPartsAtLowerLoad(t *testing.T) {
	for partCount, rejected := range map[int]int{1: 0, 60: 1} {
		t.Run(fmt.Sprintf("parts=%d", partCount), func(t *testing.T) {
			settings := testSettings()
			settings.Hedging = false
			settings.Shards = 60
			h := newHarness(t, settings)
			h.runQuery(10, 200*ms, 1, 2, 3)
			h.startQuery(20, 0, 0)
			// With these reports the forecast is about 0.4 s per part. The latency objective is 2 s.
			h.advance(5*ms, checkReply(1, 1), checkReply(2, 1), checkReply(3, 1))
			shards := make([]int, partCount)
			for i := range shards {
				shards[i] = i
			}
			h.advance(5 * ms)
			h.startQuery(1000, 0, shards...)
			wantActions[Reject](t, h.actions, rejected)
		})
	}
}

// Guards against rejecting all queries forever on stale load reports: while all queries are rejected, no
// attempt result brings a new report.
func TestRejectionChecksServersWithOldReports(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 3 {
		h.runQuery(RequestID(100+10*i), 200*ms, 1, 2, 3)
	}
	h.startQuery(200, 0, 0)
	h.advance(5*ms, checkReply(1, 90), checkReply(2, 90), checkReply(3, 90))
	last := wantActions[Send](t, h.actions, 1)[0].Server
	h.advance(200*ms, attemptResult(201, 0, last, OK, 200*ms))
	h.advance(1500 * ms) // over staleReportLatencies median latencies
	h.startQuery(300, 0, 0)
	wantActions[Reject](t, h.actions, 1)
	wantActions[HealthCheck](t, h.actions, 3)
}

// Guards against a rejection that sends health checks to the replicas of all parts, not only to those whose
// forecast is slow.
func TestRejectionChecksOnlySlowReplicas(t *testing.T) {
	settings := testSettings()
	settings.ReplicasPerShard = 1 // server i+1 is the only replica of shard i
	h := newHarness(t, settings)
	h.runQuery(100, 200*ms, 1, 2, 3)
	h.startQuery(200, 0, 0, 1, 2)
	h.advance(5*ms, checkReply(1, 90), checkReply(2, 0), checkReply(3, 0))
	h.advance(200*ms, attemptResult(201, 0, 1, OK, 200*ms), attemptResult(202, 0, 2, OK, 200*ms),
		attemptResult(203, 0, 3, OK, 200*ms))
	h.advance(1500 * ms)
	h.startQuery(300, 0, 0, 1, 2)
	wantActions[Reject](t, h.actions, 1)
	if check := wantActions[HealthCheck](t, h.actions, 1)[0]; check.Server != 1 {
		t.Errorf("health check sent to server %d, want server 1, the only slow one", check.Server)
	}
}

func TestOverloadedShardDoesNotOverloadCoordinator(t *testing.T) {
	settings := serviceTimeSettings()
	settings.ReplicasPerShard = 1
	h := newHarness(t, settings)
	h.runQuery(100, 20*ms, 1, 2, 3)
	h.turn(reportReply(1, 49, 1600), reportReply(2, 0, 20), reportReply(3, 0, 20))
	h.startQuery(200, 0, 0, 1, 2)
	wantActions[Reject](t, h.actions, 1)
	h.startQuery(300, 0, 1, 2)
	if h.router.admission.isOverloaded(h.now, h.router.queries.byID[300].class) {
		t.Error("isOverloaded = true after a rejection due to one overloaded shard, want false")
	}
}

func TestShardWithoutReplicaDoesNotOverloadCoordinator(t *testing.T) {
	settings := testSettings()
	settings.ReplicasPerShard = 1
	h := newHarness(t, settings)
	h.updateEndpoints(UpdateFull, readyEndpoint(1, 0), readyEndpoint(3, 2))
	h.startQuery(10, 0, 1)
	wantActions[Reject](t, h.actions, 1)
	h.startQuery(20, 0, 0)
	if h.router.admission.isOverloaded(h.now, h.router.queries.byID[20].class) {
		t.Error("isOverloaded = true after a rejection due to a shard without a replica, want false")
	}
}

func TestAdmissionRejectsOverMaxOpen(t *testing.T) {
	settings := testSettings()
	settings.MaxOpen = 5
	h := newHarness(t, settings)
	h.startQuery(10, 0, 0)
	h.startQuery(20, 0, 0, 1)
	wantActions[Reject](t, h.actions, 0)
	h.startQuery(30, 0, 0)
	if rejected := wantActions[Reject](t, h.actions, 1)[0]; rejected.ID != 30 || rejected.RetryAfter <= 0 {
		t.Errorf("reject = %+v, want ID 30 and RetryAfter above 0", rejected)
	}
	h.turn(ClientDisconnected{ID: 10})
	h.startQuery(40, 0, 0)
	wantActions[Reject](t, h.actions, 0)
}

func newTestAdmission(settings *Settings) *admissionControl {
	endpoints := newEndpointList(settings)
	forecaster := newForecaster(endpoints, newResultRecorder(settings), eligibility{})
	return newAdmissionControl(settings, newQueryIndex(settings, &actionList{}), forecaster)
}

func TestAdmissionLatencyLimit(t *testing.T) {
	const objective = 2 * time.Second
	for name, c := range map[string]struct {
		noHedging, overloaded bool
		timeout               time.Duration
		parts                 int
		value                 float64 // relative to the median query
		want                  float64 // as a share of the objective
	}{
		"median query":         {false, false, clientTimeout, 10, 1, admittedLatencyShare},
		"short timeout":        {false, false, objective / 2, 10, 1, admittedLatencyShare / 2},
		"more value":           {false, false, clientTimeout, 10, 1.2, admittedLatencyShare * 1.2},
		"value, upper bound":   {false, false, clientTimeout, 10, 9, admittedLatencyShare * maxValueFactor},
		"value, lower bound":   {false, false, clientTimeout, 10, 0.1, admittedLatencyShare * minValueFactor},
		"overloaded, one part": {false, true, clientTimeout, 1, 1, strictLatencyShare},
		"overloaded, 10 parts": {false, true, clientTimeout, 10, 1, strictLatencyShare / (1 + math.Log(10))},
		"no hedging, 10 parts": {true, false, clientTimeout, 10, 1, strictLatencyShare / (1 + math.Log(10))},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Hedging = !c.noHedging
			admission := newTestAdmission(&settings)
			admission.valuesPerWork.add(time.Minute, 1)
			if c.overloaded {
				admission.overloadedAt = time.Minute
			}
			q := &query{class: &settings.Classes[0], timeout: c.timeout, parts: make([]*part, c.parts)}
			got := admission.latencyLimit(time.Minute, q, c.value)
			if want := c.want * float64(objective); math.Abs(got-want) > 1 {
				t.Errorf("latencyLimit = %v, want %v", time.Duration(got), time.Duration(want))
			}
		})
	}
}

func TestAdmissionValuePerWork(t *testing.T) {
	const overQuotaFactor = 0.25
	for name, c := range map[string]struct {
		parts     int
		overQuota bool
		want      float64
	}{
		"one part":   {1, false, 3},
		"six parts":  {6, false, 0.5},
		"over quota": {6, true, 0.5 * overQuotaFactor},
		"no parts":   {0, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0].PriorityWeight = 3
			settings.OverQuotaFactor = overQuotaFactor
			settings.Tenants = []Tenant{{QuotaPerSecond: 1}}
			admission := newTestAdmission(&settings)
			if c.overQuota {
				for range 100 {
					admission.quotas.countArrival(time.Minute, 0)
				}
			}
			q := &query{class: &settings.Classes[0], parts: make([]*part, c.parts)}
			if got := admission.valuePerWork(time.Minute, q); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("value = %v, want %v", got, c.want)
			}
		})
	}
}

func TestAdmissionOverloadedPeriods(t *testing.T) {
	const objective = 2 * time.Second
	short := time.Duration(overloadedPeriodObjectives * float64(objective))
	for name, c := range map[string]struct {
		elapsed       time.Duration
		isOverloaded  bool
		wasOverloaded bool
	}{
		"at the rejection":  {0, true, true},
		"before the end":    {short - 1, true, true},
		"at the end":        {short, false, true},
		"within the window": {statsWindow, false, true},
		"after the window":  {statsWindow + 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			admission := newTestAdmission(&settings)
			isOverloaded := admission.isOverloaded(time.Minute, &settings.Classes[0])
			if isOverloaded || admission.wasRecentlyOverloaded(time.Minute) {
				t.Error("isOverloaded or wasRecentlyOverloaded = true before any rejection, want false")
			}
			admission.overloadedAt = time.Minute
			now := time.Minute + c.elapsed
			if got := admission.isOverloaded(now, &settings.Classes[0]); got != c.isOverloaded {
				t.Errorf("isOverloaded = %v, want %v", got, c.isOverloaded)
			}
			if got := admission.wasRecentlyOverloaded(now); got != c.wasOverloaded {
				t.Errorf("wasRecentlyOverloaded = %v, want %v", got, c.wasOverloaded)
			}
		})
	}
}
