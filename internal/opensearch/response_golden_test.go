package opensearch

import (
	"encoding/json"
	"testing"

	"linkpass/internal/goldentest"
)

func TestSearchBodiesGolden(t *testing.T) {
	score, took, timedOut := 1.5, int64(12), true
	reason := goldenError()
	counts := shardCounts{
		Total:      3,
		Successful: 4,
		Skipped:    5,
		Failed:     6,
		Failures:   []shardFailure{{Shard: 7, Index: "i-2", Reason: reason, KeyRange: "c-d", MapVersion: 8}},
	}
	hit := searchHit{Index: "players", ID: "11", Score: &score, Source: json.RawMessage(`{"name":"li"}`)}
	t.Run("result", func(t *testing.T) {
		goldentest.JSON(t, "result.json", searchResponse{
			Took:     9,
			TimedOut: true,
			Shards:   counts,
			Hits: searchHits{
				Total:    total{Value: 10, Relation: "gte"},
				MaxScore: &score,
				Hits:     []searchHit{hit},
			},
		})
	})
	t.Run("error", func(t *testing.T) {
		goldentest.JSON(t, "error.json", errorBody{
			Error:    reason,
			Status:   503,
			Took:     &took,
			TimedOut: &timedOut,
			Shards:   &counts,
		})
	})
}

func TestShardBodiesGolden(t *testing.T) {
	t.Run("shard row", func(t *testing.T) {
		goldentest.JSON(t, "shard_row.json", shardRow{
			Index:         "players",
			Shard:         1,
			State:         "STARTED",
			Range:         "a-b",
			Epoch:         2,
			Node:          "s-1",
			PlanID:        3,
			Step:          "copying",
			MapVersion:    4,
			Primary:       true,
			KeySpaceShare: 0.5,
		})
	})
	t.Run("reroute command", func(t *testing.T) {
		goldentest.JSON(t, "reroute_command.json", rerouteCommand{
			Index:       "players",
			Shard:       1,
			Shards:      []uint64{2, 3},
			FromNode:    "s-1",
			ToNode:      "s-2",
			ReplicaSets: [][]string{{"s-3"}, {"s-4"}},
			Pieces:      5,
			PlanID:      6,
		})
	})
}

// goldenError returns an error that has every field.
func goldenError() apiError {
	return apiError{
		Type:      "t-1",
		Reason:    "r-1",
		Phase:     "query",
		Grouped:   true,
		Index:     "players",
		RootCause: []apiError{{Type: "t-2", Reason: "r-2"}},
		FailedShards: []shardFailure{{
			Shard:      1,
			Index:      "i-1",
			Reason:     apiError{Type: "t-3", Reason: "r-3"},
			KeyRange:   "a-b",
			MapVersion: 2,
		}},
	}
}
