package routing

import (
	"testing"
	"time"
)

func TestOverloadedServerGetsNoHealthCheckInBackoff(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	first := h.sendAfterChecks(1, 2, 3)
	h.advance(5*ms, attemptResult(11, 0, first, Overloaded, 5*ms))
	h.startQuery(20, 0, 0)
	for _, check := range actionsOf[HealthCheck](h.actions) {
		if check.Server == first {
			t.Error("a health check was sent to the overloaded server at once")
		}
	}
}

// Guards against spending all attempts of a part within moments at a server that serves nothing.
func TestBackoffGrowsWhileServerIsOverloaded(t *testing.T) {
	settings := testSettings()
	settings.ReplicasPerShard = 1
	h := newHarness(t, settings)
	h.playQuery(1, 20*ms, 1)
	h.startQuery(10, 0, 0)
	last := time.Duration(0)
	for i := range 3 {
		h.sendAfterChecks(1)
		h.advance(ms, attemptResult(11, i, 1, Overloaded, ms))
		pause := h.advanceToHealthCheck()
		if pause <= last {
			t.Errorf("pause %d lasts %v after %v", i, pause, last)
		}
		last = pause
	}
	h.sendAfterChecks(1)
	h.advance(ms, attemptResult(11, 3, 1, Overloaded, ms)) // the last attempt of MaxAttempts
	wantActions[Reject](t, h.actions, 1)
	wantActions[Reject](t, h.startQuery(20, 0, 0), 0)
	for len(actionsOf[Send](h.actions)) == 0 {
		h.advance(ms, checkReply(1, 0))
	}
	h.advance(20*ms, attemptResult(21, 0, 1, OK, 20*ms))
	if h.server(1).backoff.count != 0 {
		t.Error("an attempt that succeeded did not reset the backoff")
	}
}

// advanceToHealthCheck plays turns until a health check is sent, and returns the time until then.
func (h *harness) advanceToHealthCheck() (waited time.Duration) {
	for len(actionsOf[HealthCheck](h.actions)) == 0 {
		h.advance(ms)
		waited += ms
	}
	return waited
}

func TestAdmissionRejectsWhileAllReplicasAreUnreachable(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	for i := range 3 {
		server := h.sendAfterChecks(1, 2, 3)
		h.advance(ms, attemptResult(11, i, server, ConnectFailed, ms))
	}
	h.startQuery(20, 0, 0)
	wantActions[Reject](t, h.actions, 1)
	h.advance(time.Second)
	h.startQuery(30, 0, 0)
	wantActions[Reject](t, h.actions, 0)
}
