package coordinator

import (
	"slices"
	"time"

	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
	"linkpass/internal/shardmap/replan"
)

// minReplanTicks is the minimum time until the query's deadline, in ticks, for parts to be replanned. An attempt with
// less time could not be answered by the deadline.
const minReplanTicks = 2

// plan splits the key ranges of a query into parts at the shard boundaries of the current map. A query on the fixed
// shard map already has its parts. A query on a collection that does not exist gets none, and the router rejects it.
func (c *Core) plan(q *query) []Part {
	if len(q.KeyRanges) == 0 {
		return q.Parts
	}
	col := c.collections[q.Collection]
	if col == nil {
		return nil
	}
	col.open++
	q.collection, q.planned, q.coverage = col, col.current, coverage.NewTracker(q.KeyRanges...)
	return q.newParts(replan.Plan(col.current, q.coverage.Requested()), 1)
}

// newParts converts planned parts to parts of the query on the current map. Their weights are proportional to the
// sizes of their ranges and add up to totalWeight.
func (q *query) newParts(planned []replan.Part, totalWeight float64) []Part {
	current := q.collection.current
	parts := make([]Part, len(planned))
	requests := make([]ShardRequest, len(planned)) // one allocation for all parts
	ranges := make([]shardmap.Range, len(planned))
	for i, p := range planned {
		ranges[i] = p.Range
	}
	weights := coverage.SplitWeight(totalWeight, ranges)
	for i, p := range planned {
		shard, _ := current.Shard(p.Shard)
		requests[i] = ShardRequest{Shard: p.Shard, MapVersion: current.Version(), Range: p.Range,
			Subrange: shard.Range != p.Range, round: p.Round}
		parts[i] = Part{Shard: q.collection.routerShard(p.Shard), Weight: weights[i], Payload: q.Payload,
			Request: &requests[i]}
	}
	return parts
}

// replan replaces a part by new parts on the current map. remaining lists the keys that the new parts request; nil
// means all keys of the part. The returned event reports the replacement to the router; it is valid only if the
// reason is replan.Replanned.
func (c *Core) replan(p *part, remaining []shardmap.Range) (replaced routing.PartsReplaced, reason replan.Reason) {
	q := p.query
	if c.queries[q.id] == nil {
		return replaced, replan.AlreadyAnswered
	}
	if c.disableReplan {
		return replaced, replan.NoNewerMap
	}
	timeLeft := q.deadline - c.Now()
	change, reason := c.planChange(p, remaining, timeLeft)
	if reason != replan.Replanned {
		return replaced, reason
	}
	c.counters.Add("replans", 1)
	return c.replaceParts(q, change, timeLeft), reason
}

// planChange determines which parts of the query are replaced together with p, and the parts that replace them.
func (c *Core) planChange(p *part, remaining []shardmap.Range, timeLeft time.Duration) (replan.Change, replan.Reason) {
	current, minTimeLeft := p.query.collection.current, minReplanTicks*c.settings.Tick
	parts, index := partsForReplan(p)
	if remaining == nil {
		return replan.Replan(current, parts, index, timeLeft, minTimeLeft)
	}
	return replan.ReplaceMissing(current, parts, index, remaining, timeLeft, minTimeLeft)
}

// partsForReplan converts the parts of p's query to the types of package replan. index is the position of p.
func partsForReplan(p *part) (parts []replan.Part, index int) {
	parts = make([]replan.Part, len(p.query.parts))
	for i, other := range p.query.parts {
		parts[i] = replan.Part{Shard: other.Request.Shard, Range: other.Request.Range, Round: other.Request.round}
		switch {
		case other == p:
			index = i
		case other.answered:
			parts[i].State = replan.Answered
		case other.inFlight > 0:
			parts[i].State = replan.InFlight
		}
	}
	return parts, index
}

// replaceParts applies a change to the query's parts. The new parts share the weight of those that they replace.
func (c *Core) replaceParts(q *query, change replan.Change, timeLeft time.Duration) (replaced routing.PartsReplaced) {
	weight := 0.0
	for _, i := range change.Drop {
		p := q.parts[i]
		weight += p.Weight
		c.forgetReplaced(p)
		replaced.IDs = append(replaced.IDs, p.id)
	}
	q.parts = slices.DeleteFunc(q.parts, func(p *part) bool { return p.replaced })
	for _, planned := range q.newParts(change.Add, weight) {
		replaced.Parts = append(replaced.Parts, c.addPart(q, planned, max(0, timeLeft)))
	}
	return replaced
}

// forgetReplaced marks a part as replaced and removes it from the open parts. Its attempts in flight stay until they
// end.
func (c *Core) forgetReplaced(p *part) {
	p.replaced = true
	c.setUnsent(p, false)
	delete(c.parts, p.id)
}
