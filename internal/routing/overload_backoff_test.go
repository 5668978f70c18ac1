package routing

import (
	"math"
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
			t.Error("a health check was sent to the overloaded server during its backoff")
		}
	}
}

// Guards against using up all attempts of a part within a short time at a server that rejects everything.
func TestBackoffGrowsWhileServerIsOverloaded(t *testing.T) {
	settings := testSettings()
	settings.ReplicasPerShard = 1
	h := newHarness(t, settings)
	h.runQuery(1, 20*ms, 1)
	h.startQuery(10, 0, 0)
	last := time.Duration(0)
	for i := range 3 {
		h.sendAfterChecks(1)
		h.advance(ms, attemptResult(11, i, 1, Overloaded, ms))
		pause := h.advanceToHealthCheck()
		if pause <= last {
			t.Errorf("pause %d lasts %v, want more than the %v of the previous one", i, pause, last)
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
		t.Error("a successful attempt did not reset the backoff")
	}
}

// advanceToHealthCheck plays turns until a health check is sent, and returns the time that took.
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

func TestOverloadBackoffDoublesUpToItsLimit(t *testing.T) {
	const median = float64(100 * ms)
	backoff := overloadBackoff{}
	now := time.Minute
	for i := range maxBackoffDoublings + 3 {
		backoff.start(now, median, false)
		doublings := float64(min(i, maxBackoffDoublings))
		want := time.Duration(initialBackoffLatencies * median * math.Exp2(doublings))
		if got := backoff.remaining(now); got != want {
			t.Errorf("pause %d lasts %v, want %v", i, got, want)
		}
		now += want
	}
	backoff.reset()
	backoff.start(now, median, false)
	if got, want := backoff.remaining(now), time.Duration(initialBackoffLatencies*median); got != want {
		t.Errorf("pause after a success lasts %v, want %v", got, want)
	}
}

const backoffPause = 50 * ms // length of the first pause

// backoffFailure is a failed attempt, at a time relative to the first.
type backoffFailure struct {
	after         time.Duration
	connectFailed bool
}

var (
	overloaded    = backoffFailure{0, false}
	connectFailed = backoffFailure{0, true}
)

var backoffCases = map[string]struct {
	failures    []backoffFailure
	after       time.Duration
	over        bool
	unreachable bool
	remaining   time.Duration
}{
	"no failure":                 {nil, 0, true, false, 0},
	"overloaded":                 {[]backoffFailure{overloaded}, 0, false, false, backoffPause},
	"overloaded, before the end": {[]backoffFailure{overloaded}, backoffPause - 1, false, false, 1},
	"overloaded, at the end":     {[]backoffFailure{overloaded}, backoffPause, true, false, 0},
	"connect failed":             {[]backoffFailure{connectFailed}, 0, false, true, backoffPause},
	"connect failed, at the end": {[]backoffFailure{connectFailed}, backoffPause, true, false, 0},
	"no addition within a pause": {
		[]backoffFailure{overloaded, {backoffPause - 1, false}}, backoffPause - 1, false, false, 1,
	},
	"connect failed within a pause": {
		[]backoffFailure{overloaded, {ms, true}}, ms, false, true, backoffPause - ms,
	},
	"overloaded within a pause": {
		[]backoffFailure{connectFailed, {ms, false}}, ms, false, false, backoffPause - ms,
	},
}

func TestOverloadBackoffStart(t *testing.T) {
	for name, c := range backoffCases {
		t.Run(name, func(t *testing.T) {
			backoff := overloadBackoff{}
			for _, f := range c.failures {
				median := float64(backoffPause) / initialBackoffLatencies
				backoff.start(time.Minute+f.after, median, f.connectFailed)
			}
			now := time.Minute + c.after
			if got := backoff.isOver(now); got != c.over {
				t.Errorf("isOver = %v, want %v", got, c.over)
			}
			if got := backoff.isUnreachable(now); got != c.unreachable {
				t.Errorf("isUnreachable = %v, want %v", got, c.unreachable)
			}
			if got := backoff.remaining(now); got != c.remaining {
				t.Errorf("remaining = %v, want %v", got, c.remaining)
			}
		})
	}
}
