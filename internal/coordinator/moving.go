package coordinator

import (
	"slices"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
	"linkpass/internal/shardmap/replan"
)

// ground is one collection's layout, as the module knows it: its slices are shards
// there, numbered apart from those of the fixed layout and of every other ground.
type ground struct {
	name   string
	number int
	now    *shardmap.Map // nil: the collection has gone
	open   int           // queries planned on it
	leaves []routing.ShardPlacement
}

// shard is the module's number of a slice. A ground is a new one when its collection
// comes back after it had gone, so that numbers are never used twice.
func (g *ground) shard(id shardmap.ShardID) int { return g.number<<32 + int(id) }

// UpdateShardMaps takes news of layouts, which the caller has found out off the core's goroutine.
// server is the module's number of a holder.
func (c *Core) UpdateShardMaps(list []shardmap.Change, server func(string) routing.ServerID) {
	c.post(func() {
		for _, n := range list {
			c.reshape(n, server)
		}
	})
}

func (c *Core) reshape(n shardmap.Change, server func(string) routing.ServerID) {
	g := c.layouts[n.Collection]
	if g == nil {
		if n.Map == nil {
			return
		}
		c.grounds++
		g = &ground{name: n.Collection, number: c.grounds}
		c.layouts[n.Collection] = g
	}
	c.count.Add("shard_map_changes", 1)
	g.now = n.Map
	for _, s := range n.Added {
		ids := make([]routing.ServerID, len(s.Replicas))
		for i, name := range s.Replicas {
			ids[i] = server(name)
		}
		c.events = append(c.events, routing.ShardPlacement{Shard: g.shard(s.ID), Servers: ids})
	}
	var leaves []routing.ShardPlacement
	for _, s := range n.Removed {
		leaves = append(leaves, routing.ShardPlacement{Shard: g.shard(s.ID)})
	}
	if n.Map == nil { // open queries end on the version that they were planned on
		delete(c.layouts, n.Collection)
		if g.leaves = leaves; g.open == 0 {
			c.clear(g)
		}
		return
	}
	went := map[shardmap.ShardID]bool{}
	for _, s := range n.Removed {
		went[s.ID] = true
	}
	for _, at := range c.attempts {
		if at.part.query.ground == g && went[at.part.Request.Shard] {
			at.gone.Store(true) // if it is not yet written, it never will be
		}
	}
	for _, id := range c.affected(g, went) {
		if p := c.parts[id]; p != nil && !p.gave { // it may have joined another meanwhile
			if replaced, why := c.replan(p, nil); why == replan.Replanned {
				c.events = append(c.events, replaced)
			}
		}
	}
	for _, l := range leaves {
		c.events = append(c.events, l)
	}
}

// affected lists the parts, by age, that have nothing out and whose slice is held no more.
func (c *Core) affected(g *ground, went map[shardmap.ShardID]bool) (ids []routing.RequestID) {
	for id, p := range c.parts {
		if p.query.ground == g && !p.in && !p.gave && p.out == 0 && went[p.Request.Shard] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// clear tells the module that a ground has gone.
func (c *Core) clear(g *ground) {
	for _, l := range g.leaves {
		c.events = append(c.events, l)
	}
	g.leaves = nil
}

// plan cuts what a query wants along the slices of the layout as it stands. A query on a
// fixed layout has its parts already. One on a layout that has gone has none, and is refused.
func (c *Core) plan(q *query) []Part {
	if len(q.KeyRanges) == 0 {
		return q.Parts
	}
	g := c.layouts[q.Collection]
	if g == nil {
		return nil
	}
	g.open++
	q.ground, q.layout, q.ledger = g, g.now, coverage.NewTracker(q.KeyRanges...)
	return c.parted(q, g.now, replan.Plan(g.now, q.ledger.Requested()), 1)
}

// parted words planned parts; their weights follow their ranges and add up to total.
func (*Core) parted(q *query, l *shardmap.Map, list []replan.Part, total float64) []Part {
	out := make([]Part, len(list))
	asks := make([]ShardRequest, len(list)) // one allocation
	ranges := make([]shardmap.Range, len(list))
	for i, p := range list {
		ranges[i] = p.Range
	}
	weights := coverage.SplitWeight(total, ranges)
	for i, p := range list {
		s, _ := l.Shard(p.Shard)
		asks[i] = ShardRequest{Shard: p.Shard, MapVersion: l.Version(), Range: p.Range, Subrange: s.Range != p.Range, round: p.Round}
		out[i] = Part{Shard: q.ground.shard(p.Shard), Weight: weights[i], Payload: q.Payload, Request: &asks[i]}
	}
	return out
}

// settlePart looks at the end of an attempt of a part on a layout that can move: what an
// answer covers, and whether the part is to be planned anew. It returns the end as it is
// booked, and what the module is told after it.
func (c *Core) settlePart(p *part, r Result) (outcome.Outcome, []routing.Event) {
	switch r.Outcome {
	case outcome.Success:
		return c.cover(p, r)
	case outcome.ShardMoved:
		replaced, why := c.replan(p, nil)
		if why == replan.Replanned {
			return r.Outcome, []routing.Event{replaced}
		}
		c.count.Add("replans_refused_"+string(why), 1)
		return outcome.UnknownShardMap, nil
	}
	if p.out > 0 || p.query.ground.now == nil {
		return r.Outcome, nil
	}
	if _, held := p.query.ground.now.Resolve(p.Request.Shard); !held { // another try there would come to nothing
		if replaced, why := c.replan(p, nil); why == replan.Replanned {
			return r.Outcome, []routing.Event{replaced}
		}
	}
	return r.Outcome, nil
}

// cover books what an answer covers. A piece of what was asked for is kept, and the rest
// is asked for anew.
func (c *Core) cover(p *part, r Result) (outcome.Outcome, []routing.Event) {
	covers := p.Request.Range
	switch {
	case r.Covers != nil:
		covers = *r.Covers
	case p.Request.Subrange:
		return outcome.UnknownCoverage, nil
	}
	if !p.Request.Range.Covers(covers) || !p.query.ledger.Record(covers) {
		return outcome.DuplicateCoverage, nil
	}
	if covers == p.Request.Range {
		return outcome.Success, nil
	}
	ask := *p.Request
	ask.Range, ask.Subrange = covers, true
	in := p.Weight * covers.Size() / p.Request.Range.Size()
	p.Weight -= in // what the rest is shared out of
	p.query.pieces = append(p.query.pieces, Value{Shard: p.Shard, Request: &ask, Data: r.Value, Score: r.Score, Hits: r.Hits})
	replaced, why := c.replan(p, coverage.NewRangeSet(p.Request.Range).Subtract(coverage.NewRangeSet(covers)).Ranges())
	if why != replan.Replanned { // the rest is lost; the module hears that no part asks for it
		c.count.Add("replans_refused_"+string(why), 1)
		p.gave = true
		c.unsent(p, false)
		p.query.parts = slices.DeleteFunc(p.query.parts, func(o *part) bool { return o == p })
		delete(c.parts, p.id)
		replaced = routing.PartsReplaced{IDs: []routing.RequestID{p.id}}
	}
	replaced.ReceivedWeight = in
	return outcome.PartialCoverage, []routing.Event{replaced}
}

// replan puts others in the place of a part whose slice has gone, or for what is left of one.
func (c *Core) replan(p *part, rest []shardmap.Range) (out routing.PartsReplaced, why replan.Reason) {
	q := p.query
	if c.queries[q.id] == nil {
		return out, replan.AlreadyAnswered
	}
	if c.keep {
		return out, replan.NoNewerMap
	}
	left := q.ends - c.Now()
	standing := make([]replan.Part, len(q.parts))
	at := 0
	for i, o := range q.parts {
		standing[i] = replan.Part{Shard: o.Request.Shard, Range: o.Request.Range, Round: o.Request.round}
		switch {
		case o == p:
			at = i
		case o.in:
			standing[i].State = replan.Answered
		case o.out > 0:
			standing[i].State = replan.InFlight
		}
	}
	var change replan.Change
	if rest == nil {
		change, why = replan.Replan(q.ground.now, standing, at, left, replanTicks*c.set.Tick)
	} else {
		change, why = replan.Remaining(q.ground.now, standing, at, rest, left, replanTicks*c.set.Tick)
	}
	if why != replan.Replanned {
		return out, why
	}
	c.count.Add("replans", 1)
	var drop []*part
	weight := 0.0
	for _, i := range change.Drop {
		drop = append(drop, q.parts[i])
		weight += q.parts[i].Weight
	}
	for _, o := range drop {
		o.gave = true
		c.unsent(o, false)
		delete(c.parts, o.id)
		out.IDs = append(out.IDs, o.id)
	}
	q.parts = slices.DeleteFunc(q.parts, func(o *part) bool { return o.gave })
	for _, part := range c.parted(q, q.ground.now, change.Add, weight) {
		out.Parts = append(out.Parts, c.join(q, part, max(0, left)))
	}
	return out, replan.Replanned
}

const replanTicks = 2 // an attempt that had less time than so many turns would come to nothing

// settleLayout looks once more at an answer on a layout that can move: it is whole only if
// every wanted key is in exactly once.
func (c *Core) settleLayout(q *query, a *Answer) {
	a.ShardMapVersion = q.layout.Version()
	if a.Status == Answered {
		a.Values = append(a.Values, q.pieces...)
		if a.Complete && !q.ledger.Complete() {
			c.count.Add("answers_not_whole", 1)
			a.Complete = false
		}
	}
	if !q.ledger.Complete() {
		a.Missing = c.lost(q, a.Missing)
	}
	q.ground.open--
	if q.ground.now == nil && q.ground.open == 0 {
		c.clear(q.ground)
	}
}

// lost adds the wanted keys that no part asks for any more to what is missing.
func (*Core) lost(q *query, missing []MissingPart) []MissingPart {
	told := coverage.RangeSet{}
	for _, m := range missing {
		told.Add(m.Request.Range)
	}
	for _, r := range coverage.NewRangeSet(q.ledger.Missing()...).Subtract(told).Ranges() {
		missing = append(missing, MissingPart{LastOutcome: outcome.ShardMoved, Attempted: true, Request: &ShardRequest{Range: r, MapVersion: q.layout.Version(), Subrange: true}})
	}
	return missing
}
