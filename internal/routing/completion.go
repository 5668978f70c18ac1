package routing

import "time"

const (
	deadlineMarginTicks = 2    // a query ends this number of ticks before its client's timeout
	weightTolerance     = 1e-4 // absorbs rounding in sums of part weights
)

// completionPolicy decides when and how an open query ends.
type completionPolicy struct {
	settings  *Settings
	admission *admissionControl
}

// progress is the combined state of a query's parts. Weights are from 0 to 1.
type progress struct {
	received    float64 // weight of the answered parts
	possible    float64 // weight of the parts that may still be answered
	waiting     int     // parts for which a replica has to be chosen
	isPending   bool    // a part may still be answered
	mayHaveRun  bool    // an attempt of any part may have been executed
	bodyEvicted bool    // see progressOf
}

// progressOf combines the states of a query's parts. bodyEvicted is set if a part failed whose body had been
// evicted, or if a part was answered whose body was evicted while it had no attempt in flight.
func progressOf(q *query) progress {
	result := progress{received: q.receivedWeight, mayHaveRun: q.receivedWeight > 0}
	for _, p := range q.parts {
		result.mayHaveRun = result.mayHaveRun || p.mayHaveRun || p.state == partAnswered
		switch p.state {
		case partAnswered:
			result.received += p.weight
			result.bodyEvicted = result.bodyEvicted || p.evictedWithNoneInFlight
		case partFailed:
			result.bodyEvicted = result.bodyEvicted || p.bodyEvicted
		case partWaiting:
			result.waiting++
			result.addPossible(p)
		default:
			result.addPossible(p)
		}
	}
	return result
}

// addPossible adds a part that may still be answered.
func (p *progress) addPossible(pending *part) {
	p.possible += pending.weight
	p.isPending = true
}

// decision says whether and how a query ends in this turn.
type decision uint8

const (
	keepOpen decision = iota
	answerComplete
	answerPartial
	fail
	reject        // MinWeight is out of reach, and a repeat by the client is safe
	rejectTooLate // the late answer is worth less than the remaining work
)

// decide returns the decision for an open query, given the progress of its parts.
func (c *completionPolicy) decide(now time.Duration, q *query, p progress) decision {
	isComplete := p.received >= q.class.RequiredWeight-weightTolerance
	isEnough := p.received >= q.class.MinWeight-weightTolerance && (len(q.parts) > 0 || p.received > 0)
	isExpired := now >= q.endsAt-deadlineMarginTicks*c.settings.Tick
	isMinWeightOutOfReach := p.received+p.possible < q.class.MinWeight-weightTolerance
	switch {
	case isComplete:
		return answerComplete
	case isEnough && (isExpired || !p.isPending):
		return answerPartial
	case isExpired:
		return fail
	// Reject tells the client that a repeat is safe, so a query whose repeat may not be safe fails instead.
	case isMinWeightOutOfReach && (q.class.Idempotency != Idempotent || p.mayHaveRun && p.bodyEvicted):
		return fail
	case isMinWeightOutOfReach:
		return reject
	case !isEnough && c.isTooLate(now, q, p.possible):
		return rejectTooLate
	default:
		return keepOpen
	}
}

// isTooLate reports whether a query is past its latency objective and its late answer has no value or,
// while the coordinator is overloaded, less value than the remaining work. It is false where a repeat by the
// client could execute the query twice (NonIdempotent), and where canceling the attempts saves no work (no
// hedging).
func (c *completionPolicy) isTooLate(now time.Duration, q *query, possible float64) bool {
	isLate := now >= q.arrivedAt+q.class.LatencyObjective
	if !isLate || !c.settings.Hedging || q.class.Idempotency == NonIdempotent {
		return false
	}
	return q.class.LateValue <= 0 || c.admission.isOverloaded(now, q.class) && possible > q.class.LateValue
}
