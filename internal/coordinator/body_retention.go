package coordinator

import (
	"time"

	"linkpass/internal/routing"
)

// BodySent reports that an attempt with a Body was written completely.
func (c *Core) BodySent(id AttemptID) {
	c.post(bodySent{id})
}

func (c *Core) handleBodySent(id AttemptID) {
	if a := c.attempts[id]; a != nil {
		c.setUnsent(a.part, false)
	}
}

// setUnsent records whether a part is yet to be written. It calls Body.MarkPending when the query's first part
// becomes unsent and Body.MarkSent when no part is unsent any more: the store may evict a body that is not to be
// written.
func (*Core) setUnsent(p *part, unsent bool) {
	q := p.query
	if q.Body == nil || p.unsent == unsent || unsent && !p.needsAnswer() {
		return
	}
	p.unsent = unsent
	if !unsent {
		if q.unsentParts--; q.unsentParts == 0 {
			q.Body.MarkSent()
		}
		return
	}
	if q.unsentParts++; q.unsentParts == 1 {
		q.Body.MarkPending()
	}
}

// handleBodyEvicted handles the eviction of a query's body: it tells the router that no part can be sent any more.
func (c *Core) handleBodyEvicted(q *query) {
	if c.queries[q.id] == nil {
		return
	}
	first := !q.bodyEvicted
	if first {
		c.countClass("queries_body_evicted", q.Class)
	}
	q.bodyEvicted = true
	for _, p := range q.parts {
		if p.answered {
			continue
		}
		c.addEvent(routing.BodyEvicted{ID: p.id})
		switch {
		case p.inFlight == 0 && p.failed: // the part was waiting for a retry
			c.countClass("retries_forgone", q.Class)
			q.unanswerableAt = max(q.unanswerableAt, c.Now())
		case p.inFlight == 0:
			c.markFailed(p, c.Now())
		case first:
			c.countClass("hedges_forgone", q.Class)
		}
	}
}

// markFailed records that a part has no attempt in flight that could answer it. The part needs a retry, which cannot
// be sent if the query's body was evicted.
func (c *Core) markFailed(p *part, at time.Duration) {
	q := p.query
	if q.bodyEvicted {
		c.countClass("retries_forgone", q.Class)
		q.unanswerableAt = max(q.unanswerableAt, at)
	}
	p.failed = true
	c.countClass("retries_needed", q.Class)
}
