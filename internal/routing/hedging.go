package routing

import "time"

const (
	hedgeBudgetShare = 0.6 // share of the retry budget that hedges may use; the rest is for retries

	// A hedge is sent only if the further attempts counted, retries included, are at most hedgeAllowance plus
	// hedgeRatio times the arrivals: where servers are slow because of load, hedges add to that load.
	hedgeAllowance = 10
	hedgeRatio     = 0.1
)

// mayHedge reports whether a hedge may be sent, given the number of further attempts counted, including this
// one, and the number of arrivals. It returns false if servers report no load, as a hedge could then worsen
// an overload that the router cannot see.
func (r *retryPolicy) mayHedge(furtherAttempts, arrivals float64) bool {
	return len(r.settings.ReportFields) > 0 && furtherAttempts <= hedgeAllowance+hedgeRatio*arrivals
}

// hedger detects overdue attempts and makes their parts wait for a hedge.
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

// checkOverdue records a part's latest attempt as failed once it is overdue. If hedging is on and the retry
// policy allows it, the part then waits for a hedge. An overdue hedge can be followed by another one.
func (h *hedger) checkOverdue(now time.Duration, p *part) {
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
