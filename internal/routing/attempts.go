package routing

import "time"

// resultRecorder updates the statistics of latency, load and outliers with the results of attempts.
type resultRecorder struct {
	latencies *latencyStats
	load      *loadEstimator
	outliers  *outlierDetector
	trimmed   int // index of the listed server whose samples were trimmed last
}

func newResultRecorder(settings *Settings) *resultRecorder {
	latencies := newLatencyStats(settings)
	return &resultRecorder{
		latencies: latencies,
		load:      newLoadEstimator(settings, latencies),
		outliers:  newOutlierDetector(latencies),
	}
}

// update adapts the estimates to the interval at which this coordinator gets a result from one of the listed
// servers. It also drops the old samples of one of them, so that servers without new results do not keep
// theirs.
func (r *resultRecorder) update(now time.Duration, listed []*server) {
	if len(listed) > 0 {
		r.trimmed = (r.trimmed + 1) % len(listed)
		listed[r.trimmed].latency.trim(now)
	}
	interval := r.latencies.sampleInterval(now, len(listed))
	r.outliers.updateHalfLife(interval)
	r.load.updateServiceTimeWeight(interval)
}

// record updates the latency, health, load and overload backoff of a server from the result of an attempt.
func (r *resultRecorder) record(now time.Duration, a *attempt, result AttemptResult) {
	s, class := a.server, a.part.query.classIndex
	r.load.recordReport(now, s, result.LoadReport)
	switch result.Code {
	case OK:
		r.recordSuccess(now, a, max(1, float64(result.Latency)))
	case ServerError, ConnReset:
		r.outliers.recordFailure(now, s, class)
	case Overloaded, ConnectFailed:
		s.backoff.start(now, r.latencies.classMedian(now, class), result.Code == ConnectFailed)
	case TimedOut:
		r.outliers.recordOverdue(now, a)
	case Canceled, NotSent, ShardMoved: // they say nothing about the server
	}
}

// recordSuccess records the latency of a successful attempt, in nanoseconds.
func (r *resultRecorder) recordSuccess(now time.Duration, a *attempt, latency float64) {
	s, class := a.server, a.part.query.classIndex
	r.outliers.recordSuccess(now, s, class, latency) // first, so that the median excludes this latency
	s.latency.add(now, latency)
	r.latencies.add(now, class, latency, a.load)
	s.checks.consecutiveFailures = 0
	s.backoff.reset()
}

// send sends the next attempt of a part. It checks again that the attempt is allowed, as the state of the
// part and of the retry budget may have changed while the part waited for a replica.
func (r *Router) send(p *part, s *server) {
	isHedge := len(p.inFlight) > 0
	p.race = nil
	if !r.retries.allows(r.now, p, isHedge) || isHedge && !r.settings.Hedging {
		p.stopWaiting()
		return
	}
	p.state = partInFlight
	if len(p.servers) > 0 {
		r.retries.countFurtherAttempt(r.now)
	}
	r.slowStart.startNextGap(r.now, s, p.query.classIndex)
	if !p.mayHaveRun && !isHedge {
		p.retryableUntil = p.query.class.retryableUntil(r.now)
	}
	r.queries.addAttempt(r.now, p, s, r.results.load.load(r.now, s))
	r.selector.partsSent[s]++
	r.actions.add(Send{
		ID:          p.id,
		Server:      s.id,
		Timeout:     p.query.endsAt - r.now,
		WriteBefore: p.retryableUntil,
	})
}

// endAttempt processes the result of an attempt. If the attempt did not succeed and the part has no other
// attempt in flight, the part waits for a retry, or fails if no retry is allowed.
func (r *Router) endAttempt(result AttemptResult) {
	a := r.queries.removeAttempt(result.ID, result.Attempt)
	if a == nil {
		return
	}
	r.results.record(r.now, a, result)
	p := a.part
	p.mayHaveRun = p.mayHaveRun || result.Code.mayHaveRun()
	if !r.queries.isOpen(p) {
		return
	}
	if result.Code == OK {
		p.state = partAnswered
		r.queries.cancelAttempts(p)
		return
	}
	if len(p.inFlight) > 0 || p.state == partWaiting {
		return
	}
	p.state, p.race = partFailed, nil
	if r.retries.allows(r.now, p, false) {
		p.wait()
	}
}
