package opensearch

import (
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/outcome"
)

func TestSearchPayloadsGolden(t *testing.T) {
	for _, c := range []struct{ file, target, body string }{
		{
			"search_text.json",
			"/players/_search?timeout=300ms",
			`{"query": {"match": {"name": "li"}}, "from": 2, "size": 3}`,
		},
		{"search_text_default.json", "/players/_search", ``},
		{
			"search_text_params.json",
			"/players/_search?from=4&size=5&allow_partial_search_results=false&preference=_shards:2,0",
			`{"from":1}`,
		},
	} {
		t.Run(c.file, func(t *testing.T) {
			core := &fakeCore{answer: completeAnswer}
			if res, _ := serve(newFront(core), "POST", c.target, c.body); res.Status != 200 {
				t.Fatalf("status = %d, want 200: %s", res.Status, res.Body)
			}
			for _, p := range core.queries[0].Parts {
				goldentest.Bytes(t, c.file, p.Payload)
			}
			goldentest.Bytes(t, c.file, core.queries[0].Payload)
		})
	}
}

func TestSearchAnswersGolden(t *testing.T) {
	for _, c := range goldenAnswers() {
		t.Run(c.file, func(t *testing.T) {
			core := &fakeCore{answer: func(coordinator.Query) coordinator.Answer { return c.answer }}
			f := newFront(core)
			f.SearchConfig = known(goldenConfig(t))
			res, _ := serve(f, "POST", c.target, "")
			goldentest.Bytes(t, c.file, responseBytes(t, res))
		})
	}
}

type answerCase struct {
	file   string
	target string
	answer coordinator.Answer
}

func goldenAnswers() []answerCase {
	const target = "/players/_search"
	missing := []coordinator.MissingPart{
		{Shard: 2, LastOutcome: outcome.Rejected, Attempted: true},
		{Shard: 0, BodyEvicted: true},
	}
	moved := []coordinator.MissingPart{{
		LastOutcome: outcome.ShardMoved,
		Attempted:   true,
		Request:     goldenShardRequest(),
	}}
	values := []coordinator.Value{
		{Shard: 1, Hits: &coordinator.Hits{Total: 7, AtLeast: true, List: []coordinator.Hit{
			{ID: "best", Score: 9, Source: []byte(`{"name":"x"}`)},
			{ID: "low", Score: 0.5},
		}}},
		{Shard: 0, Data: []byte("v"), Score: 4},
	}
	noHits := []coordinator.Value{{Hits: &coordinator.Hits{}}}
	partial := coordinator.Answer{Values: values[:1], Missing: missing}
	timedOut := partial
	timedOut.TimedOut = true
	rejected := coordinator.Answer{Status: coordinator.Rejected, Missing: missing, RetryAfter: 1250 * time.Millisecond}
	failed := coordinator.Answer{Status: coordinator.Failed, Missing: missing}
	expired := coordinator.Answer{Status: coordinator.Failed, Missing: missing, TimedOut: true}
	return []answerCase{
		{"answer_whole.http", target, coordinator.Answer{Complete: true, Values: values}},
		{"answer_no_hits.http", target, coordinator.Answer{Complete: true, Values: noHits}},
		{"answer_partial.http", target, timedOut},
		{"answer_partial_refused.http", target + "?allow_partial_search_results=false", partial},
		{"answer_rejected.http", target, rejected},
		{"answer_failed.http", target, failed},
		{"answer_timeout.http", target, expired},
		{
			"answer_layout.http", "/movable/_search",
			coordinator.Answer{ShardMapVersion: 7, Values: values[:1], Missing: moved},
		},
	}
}
