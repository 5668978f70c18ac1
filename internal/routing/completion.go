package routing

import "time"

const (
	deadlineMarginTicks = 2    // a query ends so many ticks before its client's time is up
	weightTolerance     = 1e-4 // for the rounding of sums of part weights
)

// completion decides when an open query ends, and how.
type completion struct {
	settings  *Settings
	admission *admissionControl
}

// progress is what a query's parts have come to. Weights are from 0 to 1.
type progress struct {
	received    float64 // weight that has been answered
	possible    float64 // weight that may still be answered
	waiting     int     // parts for which a replica has to be chosen
	isPending   bool    // a part may still be answered
	mayHaveRun  bool    // an attempt of any part may have had its effect
	bodyEvicted bool    // a part failed, and its body had been evicted
}

// progressOf sums up a query's parts.
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

// addPossible counts a part that may still be answered.
func (p *progress) addPossible(pending *part) {
	p.possible += pending.weight
	p.isPending = true
}

// decision is what becomes of a query now.
type decision uint8

const (
	keepOpen decision = iota
	answerComplete
	answerPartial
	fail
	reject        // too little weight can still be answered, and asking again does no harm
	rejectTooLate // its answer would be worth less than its work
)

// decide looks at an open query whose parts have come to the progress given.
func (c *completion) decide(now time.Duration, q *query, p progress) decision {
	isComplete := p.received >= q.class.RequiredWeight-weightTolerance
	isEnough := p.received >= q.class.MinWeight-weightTolerance && (len(q.parts) > 0 || p.received > 0)
	isTimeUp := now >= q.endsAt-deadlineMarginTicks*c.settings.Tick
	isHopeless := p.received+p.possible < q.class.MinWeight-weightTolerance
	switch {
	case isComplete:
		return answerComplete
	case isEnough && (isTimeUp || !p.isPending):
		return answerPartial
	case isTimeUp:
		return fail
	// Where a repeat may do harm, the client gets no promise that it does none.
	case isHopeless && (q.class.Idempotency != Idempotent || p.mayHaveRun && p.bodyEvicted):
		return fail
	case isHopeless:
		return reject
	case !isEnough && c.isWorthless(now, q, p.possible):
		return rejectTooLate
	default:
		return keepOpen
	}
}

// isWorthless tells whether a query is past its latency objective with nothing left to earn or, while the
// coordinator is overloaded, with more work left than it can earn. It is kept where its effect could be
// doubled by the client, and where canceling its attempts saves nothing.
func (c *completion) isWorthless(now time.Duration, q *query, possible float64) bool {
	isLate := now >= q.arrivedAt+q.class.LatencyObjective
	if !isLate || !c.settings.Hedging || q.class.Idempotency == NonIdempotent {
		return false
	}
	return q.class.LateValue <= 0 || c.admission.isOverloaded(now, q.class) && possible > q.class.LateValue
}
