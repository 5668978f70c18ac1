package coordinator

import (
	"slices"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
	"linkpass/internal/shardmap/replan"
)

// handleShardResult handles the end of an attempt at a part on a shard map that can change. It records which keys an
// answer covers and replaces the part if its shard has moved. It returns the outcome to record, and the events that
// the router must see after the attempt's result.
func (c *Core) handleShardResult(p *part, result Result) (outcome.Outcome, []routing.Event) {
	switch result.Outcome {
	case outcome.Success:
		return c.recordCoverage(p, result)
	case outcome.ShardMoved:
		return c.handleShardMoved(p)
	}
	current := p.query.collection.current
	if p.inFlight > 0 || current == nil {
		return result.Outcome, nil
	}
	if _, exists := current.Resolve(p.Request.Shard); !exists { // the shard is gone, so a retry could only fail
		if replaced, reason := c.replan(p, nil); reason == replan.Replanned {
			return result.Outcome, []routing.Event{replaced}
		}
	}
	return result.Outcome, nil
}

// handleShardMoved replaces a part whose server says that the shard has moved. If no newer shard map confirms the
// move, the outcome is UnknownShardMap, and the router tries another server.
func (c *Core) handleShardMoved(p *part) (outcome.Outcome, []routing.Event) {
	replaced, reason := c.replan(p, nil)
	if reason == replan.Replanned {
		return outcome.ShardMoved, []routing.Event{replaced}
	}
	c.counters.Add("replans_rejected_"+string(reason), 1)
	return outcome.UnknownShardMap, nil
}

// recordCoverage records which keys an answer covers. If an answer covers only a subrange of the part's range, its
// value is kept and new parts request the other keys. An answer that does not say what it covers is taken to cover
// the part's range, but is refused if that range is only a subrange of the shard.
func (c *Core) recordCoverage(p *part, result Result) (outcome.Outcome, []routing.Event) {
	covers := p.Request.Range
	switch {
	case result.Covers != nil:
		covers = *result.Covers
	case p.Request.Subrange:
		return outcome.UnknownCoverage, nil
	}
	if !p.Request.Range.Covers(covers) || !p.query.coverage.Record(covers) {
		return outcome.DuplicateCoverage, nil
	}
	if covers == p.Request.Range {
		return outcome.Success, nil
	}
	return outcome.PartialCoverage, []routing.Event{c.splitPart(p, covers, result)}
}

// splitPart keeps an answer for a subrange of a part's range and replaces the part by new parts for the remaining
// keys. If these cannot be planned, the remaining keys stay missing, and the event tells the router that no part
// replaces the old one.
func (c *Core) splitPart(p *part, covers shardmap.Range, result Result) routing.PartsReplaced {
	request := *p.Request
	request.Range, request.Subrange = covers, true
	receivedWeight := p.Weight * covers.Size() / p.Request.Range.Size()
	p.Weight -= receivedWeight // the new parts share the remaining weight
	p.query.subrangeValues = append(p.query.subrangeValues,
		Value{Shard: p.Shard, Request: &request, Data: result.Value, Score: result.Score, Hits: result.Hits})
	remaining := coverage.NewRangeSet(p.Request.Range).Subtract(coverage.NewRangeSet(covers)).Ranges()
	replaced, reason := c.replan(p, remaining)
	if reason != replan.Replanned {
		c.counters.Add("replans_rejected_"+string(reason), 1)
		c.forgetReplaced(p)
		p.query.parts = slices.DeleteFunc(p.query.parts, func(other *part) bool { return other == p })
		replaced = routing.PartsReplaced{IDs: []routing.RequestID{p.id}}
	}
	replaced.ReceivedWeight = receivedWeight
	return replaced
}

// finishCoverage completes the answer of a query on a shard map that can change. It clears Complete if a requested
// key was not answered: the query's coverage tracker decides this, not the router.
func (c *Core) finishCoverage(q *query, answer *Answer) {
	answer.ShardMapVersion = q.planned.Version()
	if answer.Status == Answered {
		answer.Values = append(answer.Values, q.subrangeValues...)
		if answer.Complete && !q.coverage.Complete() {
			c.counters.Add("answers_incomplete", 1)
			answer.Complete = false
		}
	}
	if !q.coverage.Complete() {
		answer.Missing = q.addUnrequested(answer.Missing)
	}
	q.collection.open--
	if q.collection.current == nil && q.collection.open == 0 {
		c.removeShards(q.collection)
	}
}

// addUnrequested adds the keys that are missing and not requested by any part any more to the missing parts.
func (q *query) addUnrequested(missing []MissingPart) []MissingPart {
	listed := coverage.RangeSet{}
	for _, m := range missing {
		listed.Add(m.Request.Range)
	}
	for _, keys := range coverage.NewRangeSet(q.coverage.Missing()...).Subtract(listed).Ranges() {
		missing = append(missing, MissingPart{LastOutcome: outcome.ShardMoved, Attempted: true,
			Request: &ShardRequest{Range: keys, MapVersion: q.planned.Version(), Subrange: true}})
	}
	return missing
}
