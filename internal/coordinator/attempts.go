package coordinator

import (
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
)

// AttemptEnded reports how an attempt ended. A second report for the same attempt is ignored.
func (c *Core) AttemptEnded(id AttemptID, result Result) {
	c.post(attemptEnded{id, result})
}

// openAttempt opens an attempt at a part and adds it to the batches of this turn.
func (c *Core) openAttempt(now time.Duration, send routing.Send) {
	p := c.parts[send.ID]
	if p == nil {
		c.counters.Add("sends_of_unknown_parts", 1)
		return
	}
	a := &attempt{id: AttemptID{send.ID, p.attempts}, part: p, server: send.Server, sentAt: now}
	if p.attempts > 0 && p.inFlight == 0 {
		c.countClass("retries_made", p.query.Class)
	}
	p.attempts++
	p.inFlight++
	c.setUnsent(p, true)
	c.attempts[a.id] = a
	c.counters.Add("attempts_sent", 1)
	c.armTimeout(now, a, send.Timeout)
	c.addToBatch(a, send.WriteBefore)
}

// armTimeout arms a timer that ends the attempt at the query's deadline, or after limit if that is earlier. A limit
// of 0 means none.
func (c *Core) armTimeout(now time.Duration, a *attempt, limit time.Duration) {
	wait := a.part.query.deadline - now
	if limit > 0 {
		wait = min(wait, limit)
	}
	a.timeout = c.deadlines.Arm(now+max(0, wait), func() {
		c.transports.Cancel(a.server, a.id)
		c.endAttempt(a.id, Result{Outcome: outcome.Timeout, At: c.Now()})
	})
}

// addToBatch adds the attempt to the latest batch for its server if that has room, or to a new batch.
func (c *Core) addToBatch(a *attempt, writeBefore time.Duration) {
	p, q := a.part, a.part.query
	out := Attempt{
		ID:          a.id,
		Query:       q.Name,
		Collection:  q.Collection,
		Shard:       p.Shard,
		Payload:     p.Payload,
		Body:        q.Body,
		Deadline:    q.deadline,
		WriteBefore: writeBefore,
		AtMostOnce:  c.settings.Classes[q.Class].Idempotency == routing.NonIdempotent,
		Request:     p.Request,
		ended:       &a.ended,
		shardMoved:  &a.shardMoved,
	}
	if i, ok := c.latestBatch[a.server]; ok && len(c.batches[i].attempts) < c.settings.PartsPerRequest {
		c.batches[i].attempts = append(c.batches[i].attempts, out)
		return
	}
	c.latestBatch[a.server] = len(c.batches)
	c.batches = append(c.batches, batch{a.server, []Attempt{out}})
}

// cancelAttempt ends an attempt that the router no longer waits for.
func (c *Core) cancelAttempt(now time.Duration, id AttemptID) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	c.counters.Add("cancels_by_router", 1)
	c.removeFromBatch(a)
	c.transports.Cancel(a.server, id)
	c.endAttempt(id, Result{Outcome: outcome.Canceled, At: now})
}

// removeFromBatch removes an attempt that was opened in this turn from its batch.
func (c *Core) removeFromBatch(a *attempt) {
	for i := range c.batches {
		list := c.batches[i].attempts
		for j := range list {
			if list[j].ID == a.id {
				c.batches[i].attempts = append(list[:j:j], list[j+1:]...)
				return
			}
		}
	}
}

// endAttempt ends an attempt and reports its outcome to the router. It ignores attempts that have already ended.
func (c *Core) endAttempt(id AttemptID, result Result) {
	a := c.attempts[id]
	if a == nil {
		c.counters.Add("results_late", 1)
		return
	}
	delete(c.attempts, id)
	a.ended.Store(true)
	c.deadlines.Disarm(a.timeout)
	p := a.part
	p.inFlight--
	var replacements []routing.Event // replacement of the part; the router must see the attempt's result first
	if p.Request != nil && p.needsAnswer() {
		result.Outcome, replacements = c.handleShardResult(p, result)
	}
	c.counters.Add("attempts_"+result.Outcome.String(), 1)
	c.recordResult(p, result)
	c.addEvent(routing.AttemptResult{ID: id.Part, Attempt: id.No, Server: a.server, Code: result.Outcome.RoutingCode(),
		Latency: max(0, result.At-a.sentAt), Final: p.answered, LoadReport: result.LoadReport})
	c.events = append(c.events, replacements...)
}

// countHeld reports the size of a value that is kept until the query ends.
func (q *query) countHeld(result Result) {
	if q.Held == nil {
		return
	}
	size := len(result.Value)
	if result.Hits != nil {
		for _, hit := range result.Hits.List {
			size += len(hit.ID) + len(hit.Source)
		}
	}
	q.Held(int64(size))
}

// recordResult records an attempt's result in its part.
func (c *Core) recordResult(p *part, result Result) {
	if !p.answered {
		p.lastOutcome = result.Outcome
	}
	if result.Outcome == outcome.Success && p.needsAnswer() {
		c.setUnsent(p, false)
		if p.failed {
			c.countClass("retries_won", p.query.Class)
		}
		p.answered = true
		p.query.countHeld(result)
		p.value = Value{Shard: p.Shard, Request: p.Request, Data: result.Value, Score: result.Score, Hits: result.Hits}
	}
	if p.needsAnswer() && p.inFlight == 0 && c.queries[p.query.id] != nil {
		c.setUnsent(p, true) // the router may retry the part
		c.markFailed(p, result.At)
	}
}
