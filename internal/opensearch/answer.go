package opensearch

import (
	"strconv"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
)

// encodeAnswer returns the response to a search that took the given number of milliseconds. The response lists
// every shard or key range without a result.
func encodeAnswer(s searchRequest, a coordinator.Answer, took int64) *http1.Response {
	res := encodeByStatus(s, a, took, countShards(s, a))
	if a.ShardMapVersion > 0 {
		res.Header[headerMapVersion] = []string{strconv.FormatUint(a.ShardMapVersion, 10)}
	}
	return res
}

// countShards counts the shards of a search with and without a result. For an index with a shard map it counts
// the key ranges into which the core divided the search.
func countShards(s searchRequest, a coordinator.Answer) shardCounts {
	counts := shardCounts{
		Total:      len(s.fixedShards),
		Successful: len(s.fixedShards) - len(a.Missing),
		Failed:     len(a.Missing),
	}
	if s.keyRanges != nil {
		counts.Total, counts.Successful = len(a.Values)+len(a.Missing), len(a.Values)
	}
	for _, m := range a.Missing {
		failure := shardFailure{Shard: m.Shard, Index: s.index, Reason: missingReason(m)}
		if r := m.Request; r != nil {
			failure.Shard, failure.KeyRange, failure.MapVersion = int(r.Shard), r.Range.String(), r.MapVersion
		}
		counts.Failures = append(counts.Failures, failure)
	}
	return counts
}

// encodeByStatus returns the response for the way the query ended: the merged hits of a complete answer, or of a
// partial one where the search allows it, and otherwise an error. Only a rejected search, which may safely be repeated, is
// answered 429.
func encodeByStatus(s searchRequest, a coordinator.Answer, took int64, counts shardCounts) *http1.Response {
	if a.Status == coordinator.Answered && (a.Complete || s.allowPartial) {
		return jsonResponse(200, searchResponse{
			Took:     took,
			TimedOut: a.TimedOut && !a.Complete,
			Shards:   counts,
			Hits:     s.merge(a.Values),
		})
	}
	e := &apiError{
		Type:         errTypeSearchPhase,
		Reason:       "all shards failed",
		Phase:        "query",
		Grouped:      true,
		FailedShards: counts.Failures,
		Status:       500, // not 503, which would say that nothing has run
	}
	switch {
	case a.Status == coordinator.Rejected:
		e.Type, e.Status = errTypeRejected, 429
		e.Reason = "the search was refused for want of room; asking again is harmless"
	case a.TimedOut:
		e.Reason, e.Status = "the search's time is over", 504
	case a.Status == coordinator.Answered:
		e.Reason = "Partial shards failure"
	}
	res := searchErrorResponse(e, &took, &a.TimedOut, &counts)
	if a.Status == coordinator.Rejected && a.RetryAfter > 0 {
		res.Header["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	return res
}
