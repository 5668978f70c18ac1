package opensearch

import (
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/outcome"
)

// The search's text as the core gets it, which is what each server is sent.
func TestSearchTextGolden(t *testing.T) {
	for _, c := range []struct{ file, target, body string }{
		{"search_text.json", "/players/_search?timeout=300ms", `{"query": {"match": {"name": "li"}}, "from": 2, "size": 3}`},
		{"search_text_default.json", "/players/_search", ``},
		{"search_text_params.json", "/players/_search?from=4&size=5&allow_partial_search_results=false&preference=_shards:2,0", `{"from":1}`},
	} {
		t.Run(c.file, func(t *testing.T) {
			k := &fakeCore{answer: completeAnswer}
			if res, _ := serve(newFront(k), "POST", c.target, c.body); res.Status != 200 {
				t.Fatalf("%d %s", res.Status, res.Body)
			}
			for _, p := range k.queries[0].Parts {
				goldentest.Bytes(t, c.file, p.Payload)
			}
			goldentest.Bytes(t, c.file, k.queries[0].Payload)
		})
	}
}

// Final answers of searches, with status and header.
func TestSearchAnswersGolden(t *testing.T) {
	missing := []coordinator.MissingPart{{Shard: 2, LastOutcome: outcome.Rejected, Attempted: true}, {Shard: 0, BodyEvicted: true}}
	value := []coordinator.Value{{Shard: 1, Hits: &coordinator.Hits{Total: 7, AtLeast: true, List: []coordinator.Hit{
		{ID: "best", Score: 9, Source: []byte(`{"name":"x"}`)}, {ID: "low", Score: 0.5}}}}, {Shard: 0, Data: []byte("v"), Score: 4}}
	for _, c := range []struct {
		file   string
		target string
		answer coordinator.Answer
	}{
		{"answer_whole.http", "/players/_search", coordinator.Answer{Complete: true, Values: value}},
		{"answer_no_hits.http", "/players/_search", coordinator.Answer{Complete: true, Values: []coordinator.Value{{Hits: &coordinator.Hits{}}}}},
		{"answer_partial.http", "/players/_search", coordinator.Answer{Values: value[:1], Missing: missing, TimedOut: true}},
		{"answer_partial_refused.http", "/players/_search?allow_partial_search_results=false", coordinator.Answer{Values: value[:1], Missing: missing}},
		{"answer_rejected.http", "/players/_search", coordinator.Answer{Status: coordinator.Rejected, Missing: missing, RetryAfter: 1250 * time.Millisecond}},
		{"answer_failed.http", "/players/_search", coordinator.Answer{Status: coordinator.Failed, Missing: missing}},
		{"answer_timeout.http", "/players/_search", coordinator.Answer{Status: coordinator.Failed, Missing: missing, TimedOut: true}},
		{"answer_layout.http", "/movable/_search", coordinator.Answer{ShardMapVersion: 7, Values: value[:1],
			Missing: []coordinator.MissingPart{{LastOutcome: outcome.ShardMoved, Attempted: true, Request: goldenShardRequest()}}}},
	} {
		t.Run(c.file, func(t *testing.T) {
			k := &fakeCore{answer: func(coordinator.Query) coordinator.Answer { return c.answer }}
			f := newFront(k)
			f.SearchConfig = goldenConfig(t)
			res, _ := serve(f, "POST", c.target, "")
			goldentest.Bytes(t, c.file, responseBytes(t, res))
		})
	}
}
