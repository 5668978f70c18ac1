package routing

import "time"

// retryPolicy decides whether a part may have a further attempt, from its idempotency, the number of its
// attempts, and the budget of retries and hedges.
type retryPolicy struct {
	settings        *Settings
	arrivals        *slidingCount // arrivals of queries and of parts
	furtherAttempts *slidingCount // attempts beyond a part's first
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
		arrivals:        newSlidingCount(arrivals),
		furtherAttempts: newSlidingCount(attempts),
	}
}

// countArrival counts a query or a part that arrived.
func (r *retryPolicy) countArrival(now time.Duration) { r.arrivals.add(now) }

// countFurtherAttempt counts an attempt beyond a part's first.
func (r *retryPolicy) countFurtherAttempt(now time.Duration) { r.furtherAttempts.add(now) }

// allows reports whether a part may have its next attempt now. isHedge is true if other attempts of the part
// are in flight. The first attempt is always allowed, unless the part's body has been evicted.
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

// isRepeatable reports whether a part can safely run once more. It leaves one tick for the next turn to send
// it.
func (r *retryPolicy) isRepeatable(now time.Duration, p *part) bool {
	if !p.mayHaveRun && len(p.inFlight) == 0 {
		return true
	}
	return p.query.class.Idempotency != NonIdempotent && now <= p.retryableUntil-r.settings.Tick
}

// withinBudget reports whether a further attempt is within the retry budget and, for a hedge, within the
// limit of hedges. A RetryBudgetWindow of 0 means that there is no retry budget.
func (r *retryPolicy) withinBudget(now time.Duration, isHedge bool) bool {
	arrivals := float64(r.arrivals.count(now))
	furtherAttempts := float64(r.furtherAttempts.count(now) + 1)
	budget := r.settings.RetryBudgetMin + r.settings.RetryBudgetRatio*arrivals
	if isHedge {
		if !r.mayHedge(furtherAttempts, arrivals) {
			return false
		}
		budget *= hedgeBudgetShare
	}
	return r.settings.RetryBudgetWindow == 0 || furtherAttempts <= budget
}
