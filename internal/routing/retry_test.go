package routing

import (
	"fmt"
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
		t.Run(fmt.Sprintf("code=%d", code), func(t *testing.T) {
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
		})
	}
}

func TestRetryWithKeyStaysWithinIdempotencyWindow(t *testing.T) {
	for wait, checks := range map[time.Duration]int{400 * ms: 2, 600 * ms: 0} {
		t.Run(fmt.Sprintf("wait=%v", wait), func(t *testing.T) {
			h := newHarness(t, keyedSettings())
			h.startQuery(10, 0, 0)
			first := h.sendAfterChecks(1, 2, 3)
			h.advance(wait, attemptResult(11, 0, first, TimedOut, wait))
			wantActions[HealthCheck](t, h.actions, checks)
		})
	}
}

// Guards against a retry that is decided within the idempotency window but written after it.
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

// Guards against retries that are within the budget when decided but exceed it when written.
func TestRetryBudgetHoldsAtWrite(t *testing.T) {
	for delay, want := range map[time.Duration]int{0: 1, 300 * ms: 0} {
		t.Run(fmt.Sprintf("delay=%v", delay), func(t *testing.T) {
			settings := testSettings()
			settings.RetryBudgetWindow = 2 * time.Second
			settings.RetryBudgetRatio = 0.5
			settings.MaxWriteDelay = delay
			h := newHarness(t, settings)
			h.startQuery(10, 0, 0) // two arrivals: a budget of one further attempt while they are counted
			first := h.sendAfterChecks(1, 2, 3)
			h.advance(1800*ms, attemptResult(11, 0, first, ServerError, 1800*ms))
			if checks := len(actionsOf[HealthCheck](h.actions)); checks > 0 != (want > 0) {
				t.Errorf("write delay %v: %d health checks for a retry, want any: %v", delay, checks, want > 0)
			}
		})
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

// allowsCase describes a part and whether it may have a further attempt at allowsNow.
type allowsCase struct {
	idempotency    Idempotency
	attempts       int
	inherited      int
	inFlight       int
	mayHaveRun     bool
	bodyEvicted    bool
	retryableUntil time.Duration
	want           bool
}

const (
	allowsNow  = time.Minute
	allowsTick = 5 * ms
	tickLeft   = allowsNow + allowsTick
	noTickLeft = tickLeft - 1
)

var allowsCases = map[string]allowsCase{
	"first attempt":                        {want: true},
	"first attempt, body evicted":          {bodyEvicted: true, want: false},
	"retry, body evicted":                  {attempts: 1, bodyEvicted: true, want: false},
	"retry below the limit":                {attempts: 3, want: true},
	"retry at the limit":                   {attempts: 4, want: false},
	"retry at the limit by inherited ones": {attempts: 1, inherited: 3, want: false},
	"inherited ones at the limit":          {inherited: 4, want: false},
	"inherited ones may have run, non-idempotent": {
		idempotency: NonIdempotent, inherited: 1, mayHaveRun: true, want: false,
	},
	"idempotent, may have run": {
		attempts: 1, mayHaveRun: true, retryableUntil: unbounded, want: true,
	},
	"non-idempotent, never ran": {idempotency: NonIdempotent, attempts: 1, want: true},
	"non-idempotent, may have run": {
		idempotency: NonIdempotent, attempts: 1, mayHaveRun: true, retryableUntil: unbounded, want: false,
	},
	"non-idempotent, in flight": {
		idempotency: NonIdempotent, attempts: 1, inFlight: 1, retryableUntil: unbounded, want: false,
	},
	"with key, never ran, window over": {
		idempotency: IdempotentWithKey, attempts: 1, retryableUntil: allowsNow - 1, want: true,
	},
	"with key, may have run, a tick left": {
		idempotency: IdempotentWithKey, attempts: 1, mayHaveRun: true,
		retryableUntil: tickLeft, want: true,
	},
	"with key, may have run, no tick left": {
		idempotency: IdempotentWithKey, attempts: 1, mayHaveRun: true,
		retryableUntil: noTickLeft, want: false,
	},
	"with key, in flight, no tick left": {
		idempotency: IdempotentWithKey, attempts: 1, inFlight: 1, retryableUntil: noTickLeft, want: false,
	},
}

func TestRetryPolicyAllows(t *testing.T) {
	for name, c := range allowsCases {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Tick = allowsTick
			settings.MaxAttempts = 4
			p := &part{
				query:             &query{class: &Class{Idempotency: c.idempotency}},
				servers:           make([]*server, c.attempts),
				inheritedAttempts: c.inherited,
				inFlight:          make([]*attempt, c.inFlight),
				mayHaveRun:        c.mayHaveRun,
				bodyEvicted:       c.bodyEvicted,
				retryableUntil:    c.retryableUntil,
			}
			if got := newRetryPolicy(&settings).allows(allowsNow, p, false); got != c.want {
				t.Errorf("allows = %v, want %v", got, c.want)
			}
		})
	}
}

func TestRetryPolicyAllowsAnyNumberWithoutLimit(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 0
	p := &part{query: &query{class: &settings.Classes[0]}, servers: make([]*server, 100)}
	if !newRetryPolicy(&settings).allows(time.Minute, p, false) {
		t.Error("allows = false without a limit of attempts, want true")
	}
}

// The budget is 2 + 0.5 for each of 16 arrivals: 10 further attempts, hedgeBudgetShare of them for hedges.
func TestRetryPolicyWithinBudget(t *testing.T) {
	const budget = 10
	hedgeBudget := int(hedgeBudgetShare * budget)
	for name, c := range map[string]struct {
		window  time.Duration
		counted int
		isHedge bool
		want    bool
	}{
		"retry within":           {time.Second, budget - 1, false, true},
		"retry over":             {time.Second, budget, false, false},
		"hedge within":           {time.Second, hedgeBudget - 1, true, true},
		"hedge over":             {time.Second, hedgeBudget, true, false},
		"retry without a budget": {0, 100 * budget, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.RetryBudgetWindow = c.window
			settings.RetryBudgetMin = 2
			settings.RetryBudgetRatio = 0.5
			retries := newRetryPolicy(&settings)
			for range 16 {
				retries.countArrival(time.Minute)
			}
			for range c.counted {
				retries.countFurtherAttempt(time.Minute)
			}
			if got := retries.withinBudget(time.Minute, c.isHedge); got != c.want {
				t.Errorf("withinBudget = %v with %d attempts counted, want %v", got, c.counted, c.want)
			}
		})
	}
}
