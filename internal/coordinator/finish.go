package coordinator

import (
	"sync/atomic"

	"linkpass/internal/routing"
)

// timedOutMarginTicks is how many ticks before its deadline a query counts as timed out. The router ends a query this
// early; the value is that of deadlineMarginTicks in package routing.
const timedOutMarginTicks = 2

// finishByID finishes the query with this ID if it is open.
func (c *Core) finishByID(id routing.RequestID, answer Answer) {
	if q := c.queries[id]; q != nil {
		c.finish(q, answer)
	}
}

// finish answers an open query and removes it. Its attempts in flight stay until they end. All of them are marked as
// ended, so that transports do not write those that are not yet written.
func (c *Core) finish(q *query, answer Answer) {
	if c.queries[q.id] == nil {
		return
	}
	delete(c.queries, q.id)
	c.deadlines.Disarm(q.overdueTimer)
	answer.TimedOut = answer.TimedOut || c.Now() >= q.deadline-timedOutMarginTicks*c.settings.Tick
	for _, p := range q.parts {
		c.closePart(p, &answer)
	}
	if q.collection != nil {
		c.finishCoverage(q, &answer)
	}
	if answer.Status == Rejected {
		c.counters.Add(c.rejectionCounter(q), 1)
	}
	if q.Body != nil {
		q.Body.Release()
		c.countAnswerDelay(q)
	}
	c.deliver(&q.Query, answer)
}

// closePart removes a part and adds its value or, if it was not answered, a MissingPart to the answer.
func (c *Core) closePart(p *part, answer *Answer) {
	delete(c.parts, p.id)
	for number := range p.attempts {
		if a := c.attempts[AttemptID{p.id, number}]; a != nil {
			a.ended.Store(true)
		}
	}
	if p.answered {
		if answer.Status == Answered {
			answer.Values = append(answer.Values, p.value)
		}
		return
	}
	answer.Missing = append(answer.Missing, MissingPart{
		Shard:       p.Shard,
		LastOutcome: p.lastOutcome,
		Attempted:   p.attempts > 0,
		Request:     p.Request,
		BodyEvicted: p.query.bodyEvicted,
	})
}

// deliver counts a query's final answer and passes it to the front.
func (c *Core) deliver(q *Query, answer Answer) {
	switch answer.Status {
	case Answered:
		c.countAnswer("queries_answered", &c.totals.Served[q.Class])
	case Rejected:
		c.countAnswer("queries_rejected", &c.totals.Rejected[q.Class])
	case Failed:
		c.countAnswer("queries_failed", &c.totals.Failed[q.Class])
	}
	q.Reply(answer)
}

func (c *Core) countAnswer(counter string, total *atomic.Int64) {
	c.counters.Add(counter, 1)
	total.Add(1)
	c.totals.InFlight.Add(-1)
}

// rejectionCounter returns the name of the counter for a rejected query. It depends on whether a part had used all
// its attempts, at least one part had been attempted, or no part had.
func (c *Core) rejectionCounter(q *query) string {
	attempted := false
	for _, p := range q.parts {
		if !p.answered && c.settings.MaxAttempts > 0 && p.attempts >= c.settings.MaxAttempts {
			return "rejected_attempts_exhausted"
		}
		attempted = attempted || p.attempts > 0
	}
	if attempted {
		return "rejected_in_progress"
	}
	return "rejected_unsent"
}
