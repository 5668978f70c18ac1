package routing

import "time"

const (
	hedgeBudgetShare = 0.6 // of the retry budget is open to hedges; the rest is kept for retries

	// Hedges are sent while the further attempts counted, retries included, are at most this many and this
	// share of the arrivals: hedges add load where servers are slow because of load.
	hedgeAllowance = 10
	hedgeRatio     = 0.1
)

// mayHedge tells whether a hedge may be sent, given the further attempts counted, this one included, and the
// arrivals. Where servers report no load, a hedge could make an overload worse unseen.
func (r *retryPolicy) mayHedge(further, arrived float64) bool {
	return len(r.settings.ReportFields) > 0 && further <= hedgeAllowance+hedgeRatio*arrived
}

// hedger looks after the parts that are in flight.
type hedger struct {
	settings  *Settings
	latencies *latencyStats
	outliers  *outlierDetector
	retries   *retryPolicy
}

func newHedger(settings *Settings, results *resultRecorder, retries *retryPolicy) *hedger {
	return &hedger{
		settings:  settings,
		latencies: results.latencies,
		outliers:  results.outliers,
		retries:   retries,
	}
}

// review records a part's latest attempt as failed once it is overdue, and lets the part wait for a hedge
// then, where it may have several attempts in flight. A hedge that is overdue can be followed by another.
func (h *hedger) review(now time.Duration, p *part) {
	if p.state != partInFlight || len(p.inFlight) == 0 {
		return
	}
	latest := p.inFlight[len(p.inFlight)-1]
	if h.latencies.isOverdue(now, latest) {
		h.outliers.recordOverdue(now, latest)
	}
	if latest.overdue && h.settings.Hedging && h.retries.allows(now, p, true) {
		p.wait()
	}
}
