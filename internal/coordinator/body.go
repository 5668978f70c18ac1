package coordinator

import (
	"strconv"
	"time"

	"linkpass/internal/routing"
)

// BodySent says that an attempt whose body is kept elsewhere was written whole.
func (c *Core) BodySent(id AttemptID) {
	c.post(func() {
		if at := c.attempts[id]; at != nil {
			c.unsent(at.part, false)
		}
	})
}

// unsent notes whether a part is yet to be written, and tells the keeper of its body when that
// changes for the query: what nobody is to write may be given up.
func (*Core) unsent(p *part, unsent bool) {
	q := p.query
	if q.Body == nil || p.unsent == unsent || unsent && (p.in || p.gave) {
		return
	}
	p.unsent = unsent
	if !unsent {
		if q.unsent--; q.unsent == 0 {
			q.Body.MarkSent()
		}
		return
	}
	if q.unsent++; q.unsent == 1 {
		q.Body.MarkPending()
	}
}

// bare tells the module that no part of a query can be sent any more.
func (c *Core) bare(q *query) {
	if c.queries[q.id] == nil {
		return
	}
	first := !q.bare
	if first {
		c.class("queries_bare", q.Class)
	}
	q.bare = true
	for _, p := range q.parts {
		if p.in {
			continue
		}
		c.events = append(c.events, routing.BodyEvicted{ID: p.id})
		switch {
		case p.out == 0 && p.failed: // it waited for its retry
			c.class("retries_forgone", q.Class)
			q.lostAt = max(q.lostAt, c.Now())
		case p.out == 0:
			c.failed(p, c.Now())
		case first:
			c.class("copies_forgone", q.Class)
		}
	}
}

// class counts under a name and a class.
func (c *Core) class(name string, class int) {
	c.count.Add(name+"_"+c.figures.Classes[class], 1)
}

// failed notes that a part has nothing out that could answer it: it needs a retry, which a bare
// one goes without.
func (c *Core) failed(p *part, at time.Duration) {
	if p.query.bare {
		c.class("retries_forgone", p.query.Class)
		p.query.lostAt = max(p.query.lostAt, at) // the last loss is what ends it
	}
	p.failed = true
	c.class("retries_needed", p.query.Class)
}

// bareSteps are the bounds, in milliseconds, under which the time from a bare query's loss to its
// answer is counted.
var bareSteps = []int{5, 10, 20, 50, 100, 500}

// late counts how long after the loss of its last chance a bare query had its answer.
func (c *Core) late(q *query) {
	if q.lostAt == 0 {
		return
	}
	waited := c.Now() - q.lostAt
	for _, ms := range bareSteps {
		if waited <= time.Duration(ms)*time.Millisecond {
			c.class("bare_final_ms_"+strconv.Itoa(ms), q.Class)
			return
		}
	}
	c.class("bare_final_ms_more", q.Class)
}
