package routing

import (
	"testing"
	"time"
)

// Guards against rejecting for good after an overload: reports that no longer arrive have to age.
func TestAdmissionRejectsOnOverloadUntilReportsAge(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 3 {
		h.playQuery(RequestID(100+10*i), 200*ms, 1, 2, 3)
	}
	h.startQuery(200, 0, 0)
	h.advance(5*ms, checkReply(1, 40), checkReply(2, 40), checkReply(3, 40))
	h.startQuery(300, 0, 0)
	if got := wantActions[Reject](t, h.actions, 1); got[0].RetryAfter <= 0 {
		t.Errorf("rejected without advice: %+v", got[0])
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

// Guards against admitting a burst that no load report shows yet.
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

// Guards against ignoring that the slowest of many parts takes longer than their mean.
func TestAdmissionRejectsManyPartsAtLowerLoad(t *testing.T) {
	for partCount, rejected := range map[int]int{1: 0, 60: 1} {
		settings := testSettings()
		settings.Hedging = false
		settings.Shards = 60
		h := newHarness(t, settings)
		h.playQuery(10, 200*ms, 1, 2, 3)
		h.startQuery(20, 0, 0)
		// The forecast is then about 0.4 s a part, of a latency objective of 2 s.
		h.advance(5*ms, checkReply(1, 1), checkReply(2, 1), checkReply(3, 1))
		shards := make([]int, partCount)
		for i := range shards {
			shards[i] = i
		}
		h.advance(5 * ms)
		h.startQuery(1000, 0, shards...)
		wantActions[Reject](t, h.actions, rejected)
	}
}

// Guards against rejecting for good on old reports: while all is rejected no result brings a new one.
func TestRejectionChecksServersWithOldReports(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 3 {
		h.playQuery(RequestID(100+10*i), 200*ms, 1, 2, 3)
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

// Guards against a rejection that sends health checks to the replicas of all its parts.
func TestRejectionChecksOnlySlowReplicas(t *testing.T) {
	settings := testSettings()
	settings.ReplicasPerShard = 1 // server i+1 alone holds shard i
	h := newHarness(t, settings)
	h.playQuery(100, 200*ms, 1, 2, 3)
	h.startQuery(200, 0, 0, 1, 2)
	h.advance(5*ms, checkReply(1, 90), checkReply(2, 0), checkReply(3, 0))
	h.advance(200*ms, attemptResult(201, 0, 1, OK, 200*ms), attemptResult(202, 0, 2, OK, 200*ms),
		attemptResult(203, 0, 3, OK, 200*ms))
	h.advance(1500 * ms)
	h.startQuery(300, 0, 0, 1, 2)
	wantActions[Reject](t, h.actions, 1)
	if check := wantActions[HealthCheck](t, h.actions, 1)[0]; check.Server != 1 {
		t.Errorf("health check sent to %d, want 1, whose forecast is slow", check.Server)
	}
}

func TestOverloadedShardDoesNotOverloadCoordinator(t *testing.T) {
	settings := serviceTimeSettings()
	settings.ReplicasPerShard = 1
	h := newHarness(t, settings)
	h.playQuery(100, 20*ms, 1, 2, 3)
	h.turn(reportReply(1, 49, 1600), reportReply(2, 0, 20), reportReply(3, 0, 20))
	h.startQuery(200, 0, 0, 1, 2)
	wantActions[Reject](t, h.actions, 1)
	h.startQuery(300, 0, 1, 2)
	if h.router.admission.isOverloaded(h.now, h.router.queries.byID[300].class) {
		t.Error("one overloaded shard makes the coordinator count as overloaded")
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
		t.Error("a shard without a replica makes the coordinator count as overloaded")
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
		t.Errorf("%+v, want query 30 with advice", rejected)
	}
	h.turn(ClientDisconnected{ID: 10})
	h.startQuery(40, 0, 0)
	wantActions[Reject](t, h.actions, 0)
}
