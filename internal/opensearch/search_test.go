package opensearch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

func TestSearchMergesHitsByScore(t *testing.T) {
	c := &fakeCore{answer: completeAnswer}
	const body = `{"query":{"match":{"name":"li"}},"size":2}`
	res, out := serve(newFront(c), "POST", "/players/_search?from=1&timeout=300ms", body)
	if res.Status != 200 {
		t.Fatalf("status = %d, want 200: %s", res.Status, res.Body)
	}
	q := c.queries[0]
	if q.Class != 1 || q.Timeout != 300*time.Millisecond || q.Collection != "players" || len(q.Parts) != 3 ||
		string(q.Parts[0].Payload) != `{"from":0,"query":{"match":{"name":"li"}},"size":3}` {
		t.Errorf("query = %+v, payload %s, want class 1, 300ms, 3 parts and a payload with size 3",
			q, q.Parts[0].Payload)
	}
	var got searchResponse
	if err := json.Unmarshal(res.Body, &got); err != nil {
		t.Fatal(err)
	}
	counts := got.Shards
	if got.Took != 40 || got.TimedOut || counts.Total != 3 || counts.Successful != 3 || counts.Failed != 0 {
		t.Errorf("response = %s, want took 40, no timeout and 3 successful shards of 3", res.Body)
	}
	if got.Hits.Total != (total{9, "eq"}) || *got.Hits.MaxScore != 9 || len(got.Hits.Hits) != 2 ||
		got.Hits.Hits[0].ID != "2" || got.Hits.Hits[1].ID != "low" { // by score: best 9, then 2, 0.5 and 0
		t.Errorf("response = %s, hits %v, want 9 hits, max_score 9 and the page 2, low", res.Body, out["hits"])
	}
}

type invalidSearch struct {
	target, body string
	status       int
	errType      string
}

func invalidSearches() []invalidSearch {
	deep := strings.Repeat(`{"bool":{"must":`, 20) + `{"match_all":{}}` + strings.Repeat(`}}`, 20)
	return []invalidSearch{
		{"/players/_search?preference=_shards:0,99", ``, 404, "shard_not_found_exception"},
		{"/players/_search?preference=_shards:4", ``, 404, "shard_not_found_exception"}, // of the site, not of the index
		{"/broken/_search", ``, 404, "shard_not_found_exception"},
		{"/nowhere/_search", ``, 404, "index_not_found_exception"},
		{"/odd/_search", ``, 500, "illegal_state_exception"},
		{"/players/_search", `{"query":`, 400, "json_parse_exception"},
		{"/players/_search", `{} {}`, 400, "json_parse_exception"},
		{"/players/_search", `{"aggs":{}}`, 400, "parsing_exception"},
		{"/players/_search", `{"sort":["name"]}`, 400, "parsing_exception"},
		{"/players/_search", `{"query":{"knn":{}}}`, 400, "parsing_exception"},
		{"/players/_search", `{"query":null}`, 400, "parsing_exception"},
		{"/players/_search", `{"query":{"match":{"a":1,"b":2}}}`, 400, "parsing_exception"},
		{"/players/_search", `{"query":{"bool":{"must":[{"match_all":{}},{"script":{}}]}}}`, 400, "parsing_exception"},
		{"/players/_search", `{"query":` + deep + `}`, 400, "parsing_exception"},
		{"/players/_search", `{"size":-1}`, 400, "illegal_argument_exception"},
		{"/players/_search", `{"from":60,"size":41}`, 400, "illegal_argument_exception"},
		{"/players/_search?size=9223372036854775807", `{"from":1}`, 400, "illegal_argument_exception"},
		{"/players/_search?timeout=soon", ``, 400, "illegal_argument_exception"},
		{"/players/_search?routing=x", ``, 400, "illegal_argument_exception"},
		{"/players/_search?preference=_local", ``, 400, "illegal_argument_exception"},
		{"/players/_count", ``, 400, "illegal_argument_exception"},
	}
}

// Guards against a search that is sent to servers although it can't be served as its client requested.
func TestServeRejectsInvalidSearches(t *testing.T) {
	for _, c := range invalidSearches() {
		t.Run(fmt.Sprintf("%s %.60s", c.target, c.body), func(t *testing.T) {
			core := &fakeCore{answer: completeAnswer}
			res, out := serve(newFront(core), "POST", c.target, c.body)
			e, _ := out["error"].(map[string]any)
			if res.Status != c.status || e["type"] != c.errType || e["root_cause"] == nil ||
				out["status"] != float64(c.status) {
				t.Errorf("status %d, body %s, want status %d, %s with a root cause",
					res.Status, res.Body, c.status, c.errType)
			}
			if len(core.queries) != 0 {
				t.Errorf("%d queries were submitted, want 0", len(core.queries))
			}
		})
	}
	if res, _ := serve(newFront(&fakeCore{}), "DELETE", "/players/_search", ""); res.Status != 405 {
		t.Errorf("status of DELETE = %d, want 405", res.Status)
	}
}

// Guards against a search that is planned for the shards of one version of the map, instead of for key ranges.
func TestSearchWithShardMapRequestsKeyRanges(t *testing.T) {
	halves := shardmap.FullRange.Split(2)
	key := shardmap.HashKey("li")
	twoShards := fmt.Sprintf("/players/_search?preference=_shards:%d,%d", firstShardID+1, firstShardID)
	for target, want := range map[string][]shardmap.Range{
		"/players/_search":            {shardmap.FullRange},
		"/players/_search?routing=li": {{First: key, Last: key}},
		"/players/_search?preference=_ranges:" + halves[0].String(): {halves[0]},
		twoShards: {halves[0]},
	} {
		c := &fakeCore{answer: func(coordinator.Query) coordinator.Answer {
			request := &coordinator.ShardRequest{Shard: 9, Range: halves[1], MapVersion: 7}
			missing := coordinator.MissingPart{LastOutcome: outcome.ShardMoved, Attempted: true, Request: request}
			return coordinator.Answer{
				Status:          coordinator.Answered,
				ShardMapVersion: 7,
				Missing:         []coordinator.MissingPart{missing},
			}
		}}
		f, _ := newDynamicFront(t, c)
		res, _ := serve(f, "POST", target, ``)
		if len(c.queries) != 1 || fmt.Sprint(c.queries[0].KeyRanges) != fmt.Sprint(want) || len(c.queries[0].Parts) != 0 {
			t.Errorf("%s: queries = %v, want one without parts for the key ranges %v", target, c.queries, want)
		}
		for _, s := range []string{`"failed":1`, `"range":"` + halves[1].String(), `"layout_version":7`, "ended as moved"} {
			if !strings.Contains(string(res.Body), s) {
				t.Errorf("%s: response = %s, want %s in it", target, res.Body, s)
			}
		}
		if res.Header.Get(headerMapVersion) != "7" {
			t.Errorf("%s: header = %v, want %s 7", target, res.Header, headerMapVersion)
		}
	}
}

func TestSearchWithShardMapRejectsInvalidSelectors(t *testing.T) {
	f, _ := newDynamicFront(t, &fakeCore{})
	for _, target := range []string{
		"/players/_search?preference=_shards:1",
		"/players/_search?preference=_ranges:9-1",
		"/fixed/_search?routing=a",
	} {
		if res, _ := serve(f, "POST", target, ``); res.Status != 404 && res.Status != 400 {
			t.Errorf("%s: status = %d, want 400 or 404", target, res.Status)
		}
	}
}
