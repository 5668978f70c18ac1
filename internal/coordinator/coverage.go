package coordinator

import (
	"slices"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
	"linkpass/internal/shardmap/replan"
)

// reviewShardResult reviews the end of an attempt at a part on a shard map that can change: which keys an answer
// covers, and whether the part is planned again. It returns the outcome to record and the events that the router is to
// see after the attempt's result.
func (c *Core) reviewShardResult(p *part, result Result) (outcome.Outcome, []routing.Event) {
	switch result.Outcome {
	case outcome.Success:
		return c.recordCoverage(p, result)
	case outcome.ShardMoved:
		return c.reviewMoved(p)
	}
	current := p.query.collection.current
	if p.inFlight > 0 || current == nil {
		return result.Outcome, nil
	}
	if _, exists := current.Resolve(p.Request.Shard); !exists { // a retry there could only fail
		if replaced, reason := c.replan(p, nil); reason == replan.Replanned {
			return result.Outcome, []routing.Event{replaced}
		}
	}
	return result.Outcome, nil
}

// reviewMoved plans a part again whose server says that the shard has moved. Where no newer map bears that out, the
// outcome is UnknownShardMap, and the router tries another server.
func (c *Core) reviewMoved(p *part) (outcome.Outcome, []routing.Event) {
	replaced, reason := c.replan(p, nil)
	if reason == replan.Replanned {
		return outcome.ShardMoved, []routing.Event{replaced}
	}
	c.counters.Add("replans_rejected_"+string(reason), 1)
	return outcome.UnknownShardMap, nil
}

// recordCoverage records which keys an answer covers. An answer for a subrange of what the part requests is kept, and
// the rest is requested by new parts. One that does not say what it covers counts for the part's range, but never for a
// subrange of a shard.
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

// splitPart keeps the answer for a subrange of what a part requests and replaces the part by parts for the rest. Where
// that cannot be planned, the rest is lost, and the router learns that the part is replaced by none.
func (c *Core) splitPart(p *part, covers shardmap.Range, result Result) routing.PartsReplaced {
	request := *p.Request
	request.Range, request.Subrange = covers, true
	received := p.Weight * covers.Size() / p.Request.Range.Size()
	p.Weight -= received // the rest is shared among the new parts
	p.query.subValues = append(p.query.subValues,
		Value{Shard: p.Shard, Request: &request, Data: result.Value, Score: result.Score, Hits: result.Hits})
	remaining := coverage.NewRangeSet(p.Request.Range).Subtract(coverage.NewRangeSet(covers)).Ranges()
	replaced, reason := c.replan(p, remaining)
	if reason != replan.Replanned {
		c.counters.Add("replans_rejected_"+string(reason), 1)
		c.forgetReplaced(p)
		p.query.parts = slices.DeleteFunc(p.query.parts, func(other *part) bool { return other == p })
		replaced = routing.PartsReplaced{IDs: []routing.RequestID{p.id}}
	}
	replaced.ReceivedWeight = received
	return replaced
}

// finishCoverage completes the answer of a query on a shard map that can change. It guards against an answer marked as
// complete that lacks a key: only the record of what was answered decides that.
func (c *Core) finishCoverage(q *query, answer *Answer) {
	answer.ShardMapVersion = q.planned.Version()
	if answer.Status == Answered {
		answer.Values = append(answer.Values, q.subValues...)
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

// addUnrequested adds the missing keys that no part requests any more to the missing parts.
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
