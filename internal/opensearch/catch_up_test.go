package opensearch

import (
	"testing"

	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// Guards against answers from settings that a restarted instance only believes to be in force: whatever needs the
// settings is refused, counted and may be sent again, and no part of a search is sent.
func TestRequestsBeforeCatchUpAreRefused(t *testing.T) {
	core := &fakeCore{}
	f, _ := newDynamicFront(t, core)
	f.SearchConfig = func() (*searchconfig.Config, error) { return nil, store.ErrNotCaughtUp }
	requests := []struct{ method, target, body string }{
		{"POST", "/players/_search", `{}`},
		{"GET", "/_cat/shards", ""},
		{"GET", "/players/_search_shards", ""},
		{"POST", "/_cluster/reroute?dry_run=true", `{"commands":[{"split":{"index":"players","shard":1048576}}]}`},
	}
	for _, r := range requests {
		res, out := serve(f, r.method, r.target, r.body)
		failure, _ := out["error"].(map[string]any)
		if res.Status != 503 || failure["type"] != errTypeClusterBlock || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s %s: status %d, header %v, body %s; want 503, %s and Retry-After",
				r.method, r.target, res.Status, res.Header, res.Body, errTypeClusterBlock)
		}
	}
	if got := f.Counters.Get("search_not_caught_up"); got != int64(len(requests)) {
		t.Errorf("search_not_caught_up = %d, want %d", got, len(requests))
	}
	if len(core.queries) != 0 {
		t.Errorf("%d searches were submitted, want none", len(core.queries))
	}
}
