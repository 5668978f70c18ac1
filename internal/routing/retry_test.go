package routing

import (
	"testing"
	"time"
)

func TestRetryAvoidsFailedReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	first := h.sendAfterChecks(1, 2, 3)
	h.advance(5*ms, attemptResult(11, 0, first, ServerError, 5*ms))
	for _, check := range wantActions[HealthCheck](t, h.actions, 2) {
		if check.Server == first {
			t.Error("a health check for the retry was sent to the failed replica")
		}
	}
}

func TestNonIdempotentIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for code, checks := range map[Code]int{ServerError: 0, TimedOut: 0, Overloaded: 2, ConnectFailed: 2} {
		settings := testSettings()
		settings.Classes[0].Idempotency = NonIdempotent
		h := newHarness(t, settings)
		h.startQuery(10, 0, 0)
		first := h.sendAfterChecks(1, 2, 3)
		h.advance(5*ms, attemptResult(11, 0, first, code, 5*ms))
		wantActions[HealthCheck](t, h.actions, checks)
		wantActions[Reject](t, h.actions, 0)
		if checks == 0 {
			wantActions[Fail](t, h.actions, 1)
		}
	}
}

func TestRetryWithKeyStaysWithinIdempotencyWindow(t *testing.T) {
	for wait, checks := range map[time.Duration]int{400 * ms: 2, 600 * ms: 0} {
		h := newHarness(t, keyedSettings())
		h.startQuery(10, 0, 0)
		first := h.sendAfterChecks(1, 2, 3)
		h.advance(wait, attemptResult(11, 0, first, TimedOut, wait))
		wantActions[HealthCheck](t, h.actions, checks)
	}
}

// Guards against a retry that is decided within the idempotency window and written after it.
func TestSendWriteBeforeEndsWithIdempotencyWindow(t *testing.T) {
	h := newHarness(t, keyedSettings())
	h.startQuery(10, 0, 0)
	first := h.sendAfterChecks(1, 2, 3)
	sentAt := h.now
	h.advance(400*ms, attemptResult(11, 0, first, TimedOut, 400*ms))
	h.sendAfterChecks(1, 2, 3)
	got := actionsOf[Send](h.actions)[0].WriteBefore
	if got < sentAt || got > sentAt+500*ms {
		t.Errorf("first attempt at %v, retry may be written until %v, want at most 500 ms later", sentAt, got)
	}
}

// Guards against retries that keep within the budget when decided and exceed it when written.
func TestRetryBudgetHoldsAtWrite(t *testing.T) {
	for delay, want := range map[time.Duration]int{0: 1, 300 * ms: 0} {
		settings := testSettings()
		settings.RetryBudgetWindow = 2 * time.Second
		settings.RetryBudgetRatio = 0.5
		settings.MaxWriteDelay = delay
		h := newHarness(t, settings)
		h.startQuery(10, 0, 0) // two arrivals: a budget of one further attempt while they are counted
		first := h.sendAfterChecks(1, 2, 3)
		h.advance(1800*ms, attemptResult(11, 0, first, ServerError, 1800*ms))
		if checks := len(actionsOf[HealthCheck](h.actions)); checks > 0 != (want > 0) {
			t.Errorf("write delay %v: %d health checks for a retry", delay, checks)
		}
	}
}

func TestRetryBudgetRejectsFurtherAttempts(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetWindow = 5 * time.Second
	settings.RetryBudgetMin = 1
	settings.RetryBudgetRatio = 0
	h := newHarness(t, settings)
	h.startQuery(10, 0, 0)
	first := h.sendAfterChecks(1, 2, 3)
	h.advance(5*ms, attemptResult(11, 0, first, ServerError, 5*ms))
	second := h.sendAfterChecks(1, 2, 3)
	h.advance(5*ms, attemptResult(11, 1, second, ServerError, 5*ms))
	wantActions[HealthCheck](t, h.actions, 0)
	wantActions[Reject](t, h.actions, 1)
}
