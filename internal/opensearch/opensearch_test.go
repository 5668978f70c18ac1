package opensearch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
	_ "linkpass/internal/testrand"
	"linkpass/internal/upstream"
)

// core stands in for the core: it keeps the queries and answers as told.
type core struct {
	queries []coordinator.Query
	answer  func(coordinator.Query) coordinator.Answer // nil: only once the client has left
}

func (*core) Now() time.Duration { return 40 * time.Millisecond }
func (c *core) Submit(q coordinator.Query) func() {
	c.queries = append(c.queries, q)
	if c.answer == nil {
		return func() { q.Reply(coordinator.Answer{Status: coordinator.Failed}) }
	}
	q.Reply(c.answer(q))
	return func() {}
}

func settings() *searchconfig.Config {
	return &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: 100}, Indices: map[string]searchconfig.Index{
		"players": {Class: "team-lookup", Shards: []int{0, 1, 2}}, "broken": {Class: "team-lookup", Shards: []int{0, 99}},
		"odd": {Class: "unheard", Shards: []int{0}}}}
}

func front(c *core) *Front {
	return &Front{Core: c, Shards: 6, Prefix: "n0", Counters: metrics.NewCounters(), SearchConfig: settings,
		Classes:  []Class{{"league-table", 5 * time.Second, 3}, {"team-lookup", 2500 * time.Millisecond, 1}},
		Settings: FixedSettings(settings)}
}

func ask(f *Front, method, target, body string) (*http1.Response, map[string]any) {
	path, query, _ := strings.Cut(target, "?")
	res := f.Serve(context.Background(), 0, &http1.Request{Method: method, Path: path, Query: query, Body: []byte(body)})
	var out map[string]any
	_ = json.Unmarshal(res.Body, &out)
	return res, out
}

func whole(q coordinator.Query) coordinator.Answer {
	a := coordinator.Answer{Complete: true}
	for _, p := range q.Parts {
		v := coordinator.Value{Shard: p.Shard, Data: []byte("v"), Score: float64(p.Shard)}
		if p.Shard == 1 {
			v.Hits = &coordinator.Hits{Total: 7, List: []coordinator.Hit{
				{ID: "best", Score: 9, Source: []byte(`{"name":"x"}`)}, {ID: "low", Score: 0.5}}}
		}
		a.Values = append(a.Values, v)
	}
	return a
}

func TestSearchIsMergedByScore(t *testing.T) {
	c := &core{answer: whole}
	res, out := ask(front(c), "POST", "/players/_search?from=1&timeout=300ms", `{"query":{"match":{"name":"li"}},"size":2}`)
	if res.Status != 200 {
		t.Fatalf("%d %s", res.Status, res.Body)
	}
	q := c.queries[0]
	if q.Class != 1 || q.Timeout != 300*time.Millisecond || q.Collection != "players" || len(q.Parts) != 3 ||
		string(q.Parts[0].Payload) != `{"from":0,"query":{"match":{"name":"li"}},"size":3}` {
		t.Errorf("query %+v, text %s", q, q.Parts[0].Payload)
	}
	var got result
	if err := json.Unmarshal(res.Body, &got); err != nil {
		t.Fatal(err)
	}
	if got.Took != 40 || got.TimedOut || got.Shards.Total != 3 || got.Shards.Successful != 3 || got.Shards.Failed != 0 {
		t.Errorf("%s", res.Body)
	}
	if got.Hits.Total != (total{9, "eq"}) || *got.Hits.MaxScore != 9 || len(got.Hits.Hits) != 2 ||
		got.Hits.Hits[0].ID != "2" || got.Hits.Hits[1].ID != "low" { // best 9, then 2, 0.5, 0
		t.Errorf("hits %s %v", res.Body, out["hits"])
	}
}

// What the coordinator can't serve as asked is refused with its error, and nothing
// is sent: an unknown slice, index or class, a query that no server supports.
func TestRefusedSearchesSendNothing(t *testing.T) {
	for _, c := range []struct {
		target, body string
		status       int
		kind         string
	}{
		{"/players/_search?preference=_shards:0,99", ``, 404, "shard_not_found_exception"},
		{"/players/_search?preference=_shards:4", ``, 404, "shard_not_found_exception"}, // known, but not of the index
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
		{"/players/_search", `{"query":` + strings.Repeat(`{"bool":{"must":`, 20) + `{"match_all":{}}` + strings.Repeat(`}}`, 20) + `}`, 400, "parsing_exception"},
		{"/players/_search", `{"size":-1}`, 400, "illegal_argument_exception"},
		{"/players/_search", `{"from":60,"size":41}`, 400, "illegal_argument_exception"},
		{"/players/_search?size=9223372036854775807", `{"from":1}`, 400, "illegal_argument_exception"},
		{"/players/_search?timeout=soon", ``, 400, "illegal_argument_exception"},
		{"/players/_search?routing=x", ``, 400, "illegal_argument_exception"},
		{"/players/_search?preference=_local", ``, 400, "illegal_argument_exception"},
		{"/players/_count", ``, 400, "illegal_argument_exception"},
	} {
		k := &core{answer: whole}
		res, out := ask(front(k), "POST", c.target, c.body)
		e, _ := out["error"].(map[string]any)
		if res.Status != c.status || e["type"] != c.kind || e["root_cause"] == nil || out["status"] != float64(c.status) {
			t.Errorf("%s %.80s: %d %s", c.target, c.body, res.Status, res.Body)
		}
		if len(k.queries) != 0 {
			t.Errorf("%s %.80s was sent", c.target, c.body)
		}
	}
	if res, _ := ask(front(&core{}), "DELETE", "/players/_search", ""); res.Status != 405 {
		t.Errorf("%d", res.Status)
	}
}

func TestWhatIsMissingIsTold(t *testing.T) {
	missing := []coordinator.MissingPart{{Shard: 2, LastOutcome: outcome.Timeout, Attempted: true}}
	part := func(q coordinator.Query) coordinator.Answer {
		a := whole(q)
		a.Complete, a.Values, a.Missing, a.TimedOut = false, a.Values[:2], missing, true
		return a
	}
	as := func(v coordinator.Status, retry time.Duration, late bool) func(coordinator.Query) coordinator.Answer {
		return func(coordinator.Query) coordinator.Answer {
			return coordinator.Answer{Status: v, RetryAfter: retry, TimedOut: late, Missing: missing}
		}
	}
	for name, c := range map[string]struct {
		answer   func(coordinator.Query) coordinator.Answer
		params   string
		status   int
		timedOut bool
		retry    string
	}{
		"in part":         {part, "", 200, true, ""},
		"part not wanted": {part, "?allow_partial_search_results=false", 504, true, ""},
		"refused":         {as(coordinator.Rejected, 250*time.Millisecond, false), "", 429, false, "0.250"},
		"timeout":         {as(coordinator.Failed, 0, true), "", 504, true, ""},
		"failed":          {as(coordinator.Failed, 0, false), "", 503, false, ""},
	} {
		res, out := ask(front(&core{answer: c.answer}), "POST", "/players/_search"+c.params, "")
		counts, _ := out["_shards"].(map[string]any)
		failures, _ := counts["failures"].([]any)
		if res.Status != c.status || out["timed_out"] != c.timedOut || res.Header.Get("Retry-After") != c.retry ||
			len(failures) != 1 || counts["total"] != 3.0 || counts["failed"].(float64)+counts["successful"].(float64) != 3 {
			t.Errorf("%s: %d %v %s", name, res.Status, res.Header, res.Body)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the client has gone
	if res := front(&core{}).Serve(ctx, 0, &http1.Request{Method: "POST", Path: "/players/_search"}); res.Status == 200 {
		t.Error("an answer to a client that left")
	}
}

const answered = `{"took":3,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},` +
	`"hits":{"total":{"value":12,"relation":"gte"},"max_score":2.5,"hits":[{"_index":"players","_id":"7","_score":2.5,"_source":{"a":1}}]}}`

func response(status int, body string) string {
	var b bytes.Buffer
	_ = http1.WriteResponse(&b, &http1.Response{Status: status, Body: []byte(body),
		Header: map[string][]string{"X-Server-Load": {"active=3"}}})
	return b.String()
}

func TestServersAnswers(t *testing.T) {
	next := func(text string) (upstream.Message, outcome.Outcome, error) {
		return Codec{ReportNames: []string{"active"}}.NewReader(strings.NewReader(text)).Next()
	}
	m, _, err := next(response(200, answered))
	if err != nil || m.Outcome != outcome.Success || m.HealthCheck || string(m.Value) != answered || m.LoadReport[0] != 3 ||
		m.Hits.Total != 12 || !m.Hits.AtLeast || m.Hits.List[0].ID != "7" || m.Score != 2.5 {
		t.Errorf("%+v %v", m, err)
	}
	if m, _, err := next(response(200, `{"name":"s-1"}`)); err != nil || !m.HealthCheck {
		t.Errorf("greeting: %+v %v", m, err)
	}
	for text, want := range map[string]outcome.Outcome{
		response(429, "{}"): outcome.Rejected, response(503, "{}"): outcome.ServerError, response(404, "{}"): outcome.ServerError,
		response(200, strings.Replace(answered, `"timed_out":false`, `"timed_out":true`, 1)): outcome.ServerError,
		response(200, strings.Replace(answered, `"failed":0`, `"failed":1`, 1)):              outcome.ServerError,
	} {
		if m, _, err := next(text); err != nil || m.Outcome != want || m.Hits != nil {
			t.Errorf("%.80q: %+v %v", text, m, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := response(200, answered)
		if _, e, err := next(text[:rapid.IntRange(0, len(text)-1).Draw(t, "at")]); err == nil || e != outcome.ConnReset && e != outcome.MalformedResponse {
			t.Fatalf("cut: %s %v", e, err)
		}
		garbage := string(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		if m, _, err := next(response(200, garbage)); err == nil && !m.HealthCheck && m.Hits == nil {
			t.Fatalf("garbage %q as %+v", garbage, m)
		}
		_, _, _ = next(garbage)
	})
}

// The platform's text goes into a search as a query string, the search front's as it is.
func TestPartsAsSearches(t *testing.T) {
	for text, want := range map[string]string{
		"c41e77d0": `{"query":{"query_string":{"query":"c41e77d0"}}}`, `{"query":{"match_all":{}}}`: `{"query":{"match_all":{}}}`,
	} {
		out := Codec{}.EncodeRequest([]upstream.Part{{Name: "q.3", Collection: "players", Shard: 3, Timeout: 240 * time.Millisecond, Payload: []byte(text)}})
		req, err := http1.NewReader(bytes.NewReader(out), 0).Request()
		if err != nil || req.Path != "/players/_search" || req.Query != "preference=_shards:3&timeout=240ms" ||
			req.Header.Get("X-Opaque-Id") != "q.3" || string(req.Body) != want {
			t.Errorf("%+v %s %v", req, req.Body, err)
		}
	}
}

func TestSearchesFromAnything(t *testing.T) {
	const valid = `{"query":{"bool":{"must":[{"match":{"name":"x"}}],"filter":{"term":{"a":1}}}},"from":1,"size":3,"timeout":"1s"}`
	if _, err := parseSearch("", []byte(valid), settings()); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		if _, err := parseSearch("", []byte(valid[:rapid.IntRange(1, len(valid)-1).Draw(t, "at")]), settings()); err == nil {
			t.Fatal("took a cut search")
		}
		_, _ = parseSearch(rapid.String().Draw(t, "params"), rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"), settings())
	})
}

// replicated stands in for the store.
type replicated struct {
	err   error
	patch string
}

func (r *replicated) ReadWith(how store.ReadOptions) (*searchconfig.Config, error) {
	if how.Consistency == store.Local {
		return settings(), nil
	}
	return settings(), r.err
}
func (r *replicated) PatchSettings(p []byte) (*searchconfig.Config, error) {
	r.patch = string(p)
	return settings(), r.err
}

func TestClusterSettings(t *testing.T) {
	r := &replicated{}
	f := front(&core{})
	f.Settings = StoreSettings(r)
	const body = `{"persistent":{"indices.players.class":"league-table"},"transient":{}}`
	if res, out := ask(f, "PUT", "/_cluster/settings", body); res.Status != 200 || out["acknowledged"] != true ||
		r.patch != `{"indices.players.class":"league-table"}` {
		t.Errorf("%d %s, patch %s", res.Status, res.Body, r.patch)
	}
	for _, bad := range []string{``, `{}`, `{"transient":{"a":1}}`, `[]`} {
		if res, _ := ask(f, "PUT", "/_cluster/settings", bad); res.Status != 400 {
			t.Errorf("%q: %d", bad, res.Status)
		}
	}
	for _, c := range []struct {
		err    error
		status int
	}{
		{&store.NotLeaderError{Leader: store.Member{ID: "b", HTTP: "127.0.0.1:9201"}}, 307},
		{store.ErrNoLeader, 503}, {store.ErrNoQuorum, 503}, {searchconfig.ErrInvalid, 400}, {errors.New("odd"), 503},
	} {
		r.err = c.err
		res, out := ask(f, "PUT", "/_cluster/settings", body)
		if res.Status != c.status || out["error"] == nil {
			t.Errorf("%v: %d %s", c.err, res.Status, res.Body)
		}
		if c.status == 307 && res.Header.Get("Location") != "http://127.0.0.1:9201/_cluster/settings" {
			t.Errorf("the follower names %q", res.Header.Get("Location"))
		}
	}
	if res, out := ask(f, "GET", "/_cluster/settings?local=true", ""); res.Status != 200 || out["persistent"] == nil {
		t.Errorf("%d %s", res.Status, res.Body)
	}
	if res, _ := ask(front(&core{}), "PUT", "/_cluster/settings", body); res.Status != 400 {
		t.Errorf("without a store: %d", res.Status)
	}
}
