package coordinator

import (
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/routing"
)

// Submit passes a query to the core. The returned function reports that the query's client has disconnected; it may
// be called at any time and does nothing once the query is answered. If the core has stopped, the query fails at
// once, and Query.Reply is called on the caller's goroutine.
func (c *Core) Submit(q Query) (disconnect func()) {
	submitted := &query{Query: q}
	c.totals.InFlight.Add(1)
	if !c.post(querySubmitted{submitted}) {
		if q.Body != nil {
			q.Body.Release()
		}
		c.deliver(&submitted.Query, Answer{Status: Failed, Missing: missingAll(q)})
		return func() {}
	}
	return func() { c.post(clientDisconnected{submitted}) }
}

// SetMaxOpen changes the maximum number of open queries and parts.
func (c *Core) SetMaxOpen(maxOpen int) {
	c.post(maxOpenChanged{maxOpen})
}

// OpenCount returns the number of open queries plus the number of open parts. It returns 0 if the core has stopped.
func (c *Core) OpenCount() int {
	reply := make(chan int, 1)
	if !c.post(openCountRequested{reply}) {
		return 0
	}
	select {
	case n := <-reply:
		return n
	case <-c.stopped:
		return 0
	}
}

// open opens a query. The router gets the arrivals of the query and of its parts in the same turn.
func (c *Core) open(q *query) {
	now := c.Now()
	q.openedAt = now
	c.counters.Add("queries_received", 1)
	c.lastRequestID++
	c.lastNumber++
	q.id, q.number, q.deadline = c.lastRequestID, c.lastNumber, q.StartedAt+q.Timeout
	parts := c.plan(q)
	c.queries[q.id] = q
	timeLeft := max(0, q.deadline-now)
	c.addEvent(routing.Arrival{ID: q.id, Shard: -1, Timeout: timeLeft, Class: q.Class, Tenant: c.tenantIndex(q),
		IsRetry: q.IsRetry, Weight: float64(len(parts)), QueryNumber: q.number})
	for _, p := range parts {
		c.addEvent(c.addPart(q, p, timeLeft))
	}
	if q.Body != nil {
		q.Body.OnEvicted(func() { c.deferred.add(bodyEvicted{q}) })
	}
	c.armOverdue(q)
}

// armOverdue arms a timer that fails the query AnswerSlack after its deadline, in case the router never ends it.
func (c *Core) armOverdue(q *query) {
	q.overdueTimer = c.deadlines.Arm(q.deadline+c.settings.AnswerSlack, func() {
		c.overdueLog.Log(eventlog.QueryOverdue, q.Name, q.Class, "queued_ms", (q.openedAt - q.StartedAt).Milliseconds(),
			"late_ms", (c.Now() - q.deadline).Milliseconds())
		c.counters.Add("queries_overdue", 1)
		c.addEvent(routing.ClientDisconnected{ID: q.id})
		c.finish(q, Answer{Status: Failed, TimedOut: true})
	})
}

// tenantIndex returns the router's index of the query's tenant. A query without a tenant has the index after the
// last.
func (c *Core) tenantIndex(q *query) int {
	if q.Tenant == 0 {
		return len(c.settings.Tenants)
	}
	return q.Tenant - 1
}

// addPart adds a part to an open query and returns its arrival event for the router. timeLeft is the time until the
// query's deadline.
func (c *Core) addPart(q *query, planned Part, timeLeft time.Duration) routing.Arrival {
	c.lastRequestID++
	p := &part{Part: planned, id: c.lastRequestID, query: q}
	q.parts = append(q.parts, p)
	c.parts[p.id] = p
	c.setUnsent(p, true)
	if q.bodyEvicted { // deferred because the router must see the arrival first
		c.deferred.add(bodyEvicted{q})
	}
	return routing.Arrival{ID: p.id, Shard: p.Shard, Timeout: timeLeft, Class: q.Class, Tenant: c.tenantIndex(q),
		IsRetry: q.IsRetry, ExpectedWork: p.ExpectedWork, Key: p.Key, Weight: p.Weight, QueryNumber: q.number}
}

// disconnect ends a query whose client has disconnected.
func (c *Core) disconnect(q *query) {
	if c.queries[q.id] == nil {
		return
	}
	c.counters.Add("clients_disconnected", 1)
	c.addEvent(routing.ClientDisconnected{ID: q.id})
	c.finish(q, Answer{Status: Failed})
}
