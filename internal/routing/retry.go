package routing

import "time"

// retryPolicy says whether a part may have a further attempt: by its idempotency, its attempts, and the
// budget of retries and hedges.
type retryPolicy struct {
	settings        *Settings
	arrivals        *slidingWindow // queries and parts
	furtherAttempts *slidingWindow // attempts beyond a part's first
}

func newRetryPolicy(settings *Settings) *retryPolicy {
	arrivals, attempts := settings.retryBudgetSpans()
	if arrivals == 0 {
		arrivals = statsWindow
	}
	if attempts == 0 {
		attempts = statsWindow
	}
	return &retryPolicy{
		settings:        settings,
		arrivals:        newSlidingWindow(arrivals),
		furtherAttempts: newSlidingWindow(attempts),
	}
}

// countArrival counts a query or a part that arrived.
func (r *retryPolicy) countArrival(now time.Duration) { r.arrivals.add(now, 1) }

// countFurtherAttempt counts an attempt beyond a part's first.
func (r *retryPolicy) countFurtherAttempt(now time.Duration) { r.furtherAttempts.add(now, 1) }

// allows tells whether a part may have its next attempt now. isHedge: others are in flight. The first attempt
// is always allowed, but for a body that has been evicted.
func (r *retryPolicy) allows(now time.Duration, p *part, isHedge bool) bool {
	if p.bodyEvicted {
		return false
	}
	if p.attemptCount() == 0 {
		return true
	}
	if r.settings.MaxAttempts > 0 && p.attemptCount() >= r.settings.MaxAttempts {
		return false
	}
	return r.isRepeatable(now, p) && r.withinBudget(now, isHedge)
}

// isRepeatable tells whether running a part once more does no harm. One tick is left for the next turn to
// send it.
func (r *retryPolicy) isRepeatable(now time.Duration, p *part) bool {
	if !p.mayHaveRun && len(p.inFlight) == 0 {
		return true
	}
	return p.query.class.Idempotency != NonIdempotent && now <= p.retryableUntil-r.settings.Tick
}

// withinBudget tells whether a further attempt keeps within the retry budget, if there is one.
func (r *retryPolicy) withinBudget(now time.Duration, isHedge bool) bool {
	arrived := float64(r.arrivals.count(now))
	further := float64(r.furtherAttempts.count(now) + 1)
	budget := r.settings.RetryBudgetMin + r.settings.RetryBudgetRatio*arrived
	if isHedge {
		if !r.mayHedge(further, arrived) {
			return false
		}
		budget *= hedgeBudgetShare
	}
	return r.settings.RetryBudgetWindow == 0 || further <= budget
}
