package opensearch

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
	_ "linkpass/internal/testrand"
)

// fakeCore records the queries and answers each immediately.
type fakeCore struct {
	queries []coordinator.Query
	answer  func(coordinator.Query) coordinator.Answer // nil: a query is answered only when it is canceled
}

func (*fakeCore) Now() time.Duration { return 40 * time.Millisecond }

func (c *fakeCore) Submit(q coordinator.Query) func() {
	c.queries = append(c.queries, q)
	if c.answer == nil {
		return func() { q.Reply(coordinator.Answer{Status: coordinator.Failed}) }
	}
	q.Reply(c.answer(q))
	return func() {}
}

func testConfig() *searchconfig.Config {
	return &searchconfig.Config{
		Search: searchconfig.Defaults{MaxResultWindow: 100},
		Indices: map[string]searchconfig.Index{
			"players": {Class: "team-lookup", Shards: []int{0, 1, 2}},
			"broken":  {Class: "team-lookup", Shards: []int{0, 99}},
			"odd":     {Class: "unheard", Shards: []int{0}},
		},
	}
}

// known returns a source of settings that are always known.
func known(config func() *searchconfig.Config) func() (*searchconfig.Config, error) {
	return func() (*searchconfig.Config, error) { return config(), nil }
}

func newFront(c *fakeCore) *Front {
	return &Front{
		Core:         c,
		Classes:      []Class{{"league-table", 5 * time.Second, 3}, {"team-lookup", 2500 * time.Millisecond, 1}},
		Shards:       6,
		SearchConfig: known(testConfig),
		Settings:     FixedSettingsHandler(testConfig),
		Prefix:       "n0",
		Counters:     metrics.NewCounters(),
	}
}

// serve sends a request and returns its response, with the body decoded where it is JSON.
func serve(f *Front, method, target, body string) (*http1.Response, map[string]any) {
	path, query, _ := strings.Cut(target, "?")
	req := &http1.Request{Method: method, Path: path, Query: query, Body: []byte(body)}
	res := f.Serve(context.Background(), 0, req)
	var out map[string]any
	_ = json.Unmarshal(res.Body, &out)
	return res, out
}

// completeAnswer returns an answer with search hits for shard 1 and, for each other shard, a plain value whose score
// is the shard's number.
func completeAnswer(q coordinator.Query) coordinator.Answer {
	a := coordinator.Answer{Complete: true}
	for _, p := range q.Parts {
		v := coordinator.Value{Shard: p.Shard, Data: []byte("v"), Score: float64(p.Shard)}
		if p.Shard == 1 {
			v.Hits = &coordinator.Hits{Total: 7, List: []coordinator.Hit{
				{ID: "best", Score: 9, Source: []byte(`{"name":"x"}`)},
				{ID: "low", Score: 0.5},
			}}
		}
		a.Values = append(a.Values, v)
	}
	return a
}

// fakeSettingsStore records the patch. All operations except local reads fail with err, if it is set.
type fakeSettingsStore struct {
	err   error
	patch string
}

func (r *fakeSettingsStore) ReadWith(options store.ReadOptions) (*searchconfig.Config, error) {
	if options.Consistency == store.Local {
		return testConfig(), nil
	}
	return testConfig(), r.err
}

func (r *fakeSettingsStore) PatchSettings(p []byte) (*searchconfig.Config, error) {
	r.patch = string(p)
	return testConfig(), r.err
}

// fakeSettingsUpdater applies changes immediately.
type fakeSettingsUpdater struct{ config *searchconfig.Config }

func (c *fakeSettingsUpdater) UpdateSettings(
	change func(*searchconfig.Config) (*searchconfig.Config, error),
) (*searchconfig.Config, error) {
	next, err := change(c.config)
	if err == nil {
		c.config = next
	}
	return next, err
}

// newDynamicFront returns a front with an index of four shards in a shard map and an index with one fixed shard.
func newDynamicFront(t *testing.T, c *fakeCore) (*Front, *fakeSettingsUpdater) {
	t.Helper()
	config, err := searchconfig.Parse([]byte(`{"search":{},"indices":{
		"players":{"class":"team-lookup","spread":{"slices":4,"sets":[["a","b"],["c","d"]]}},
		"fixed":{"class":"team-lookup","slices":[0]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	updater := &fakeSettingsUpdater{config}
	f := newFront(c)
	f.SearchConfig = known(func() *searchconfig.Config { return updater.config })
	f.SettingsUpdater = updater
	return f, updater
}

// firstShardID is the id of the first shard of a shard map.
const firstShardID = uint64(shardmap.FirstDynamicID)
