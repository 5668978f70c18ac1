package opensearch

import (
	"encoding/json"
	"slices"
	"strconv"

	"linkpass/internal/coordinator"
)

// merge sorts the hits of all values by descending score and returns the requested window of them. Hits of equal
// score stay in the order of the values.
func (s *searchRequest) merge(values []coordinator.Value) searchHits {
	out := searchHits{Total: total{Relation: "eq"}}
	all := []searchHit{}
	for _, v := range values {
		if v.Hits == nil {
			all = s.appendPlainValue(all, &out.Total, v)
		} else {
			all = s.appendHits(all, &out.Total, v.Hits)
		}
	}
	slices.SortStableFunc(all, compareScores)
	if len(all) > 0 {
		out.MaxScore = all[0].Score
	}
	from := min(s.from, len(all))
	out.Hits = all[from:min(from+s.size, len(all))]
	return out
}

// compareScores orders hits by descending score.
func compareScores(a, b searchHit) int {
	switch {
	case *a.Score > *b.Score:
		return -1
	case *a.Score < *b.Score:
		return 1
	}
	return 0
}

// appendPlainValue appends a value that is not a search result, as one hit with the score that its server gave.
func (s *searchRequest) appendPlainValue(all []searchHit, count *total, v coordinator.Value) []searchHit {
	shard := v.Shard
	if v.Request != nil {
		shard = int(v.Request.Shard)
	}
	source, err := json.Marshal(map[string]any{"slice": shard, "data": string(v.Data)})
	if err != nil { // can't happen: a number and a string can always be encoded
		return all
	}
	count.Value++
	score := v.Score
	return append(all, searchHit{Index: s.index, ID: strconv.Itoa(shard), Score: &score, Source: source})
}

func (s *searchRequest) appendHits(all []searchHit, count *total, hits *coordinator.Hits) []searchHit {
	count.Value += hits.Total
	if hits.AtLeast {
		count.Relation = "gte"
	}
	for _, h := range hits.List {
		score := h.Score
		all = append(all, searchHit{Index: s.index, ID: h.ID, Score: &score, Source: h.Source})
	}
	return all
}
