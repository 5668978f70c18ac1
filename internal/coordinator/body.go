package coordinator

import "linkpass"

// Written says that an attempt whose body is kept elsewhere was written whole.
func (c *Core) Written(id AttemptID) {
	c.post(func() {
		if at := c.attempts[id]; at != nil {
			c.unsent(at.part, false)
		}
	})
}

// unsent notes whether a part is yet to be written, and tells the keeper of its body when that
// changes for the query: what nobody is to write may be given up.
func (c *Core) unsent(p *part, unsent bool) {
	q := p.query
	if q.Body == nil || p.unsent == unsent || unsent && (p.in || p.gave) {
		return
	}
	p.unsent = unsent
	if !unsent {
		if q.unsent--; q.unsent == 0 {
			q.Body.Written()
		}
		return
	}
	if q.unsent++; q.unsent == 1 {
		q.Body.Waits()
	}
}

// bare tells the module that no part of a query can be sent any more.
func (c *Core) bare(q *query) {
	if c.queries[q.id] == nil {
		return
	}
	if !q.bare {
		c.count.Add("queries_bare", 1)
	}
	q.bare = true
	for _, p := range q.parts {
		if !p.in {
			c.events = append(c.events, linkpass.Bare{ID: p.id})
		}
	}
}
