package opensearch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

func TestClusterSettingsGolden(t *testing.T) {
	notLeader := &store.NotLeaderError{Leader: store.Member{ID: "b", Raft: "127.0.0.1:9301", HTTP: "127.0.0.1:9201"}}
	for _, c := range []struct {
		file, method, target, body string
		err                        error
	}{
		{"store_settings_get.http", "GET", "/_cluster/settings", "", nil},
		{
			"store_settings_put.http", "PUT", "/_cluster/settings",
			`{"persistent":{"search.max_result_window":100},"transient":{}}`, nil,
		},
		{"store_settings_empty.http", "PUT", "/_cluster/settings", `{}`, nil},
		{"store_settings_transient.http", "PUT", "/_cluster/settings", `{"transient":{"a":1}}`, nil},
		{"store_settings_method.http", "POST", "/_cluster/settings", "", nil},
		{"store_settings_follower.http", "PUT", "/_cluster/settings", `{"persistent":{"a":1}}`, notLeader},
	} {
		t.Run(c.file, func(t *testing.T) {
			r := &fakeSettingsStore{err: c.err}
			f := newFront(&fakeCore{})
			f.Settings = StoreSettingsHandler(r, metrics.NewCounters())
			res, _ := serve(f, c.method, c.target, c.body)
			goldentest.Bytes(t, c.file, responseBytes(t, res))
			if c.file == "store_settings_put.http" && r.patch != `{"search.max_result_window":100}` {
				t.Errorf("patch = %s, want the persistent settings", r.patch)
			}
		})
	}
}

func TestStoreErrorGolden(t *testing.T) {
	for _, c := range []struct {
		err     error
		status  int
		errType string
	}{
		{store.ErrNoLeader, 503, "cluster_manager_not_discovered_exception"},
		{store.ErrNoQuorum, 503, "process_cluster_event_timeout_exception"},
		{searchconfig.ErrInvalid, 400, "illegal_argument_exception"},
		{store.ErrTooLarge, 413, "content_too_long_exception"},
		{store.ErrRateLimited, 429, "circuit_breaking_exception"},
	} {
		t.Run(c.errType, func(t *testing.T) {
			handler := StoreSettingsHandler(&fakeSettingsStore{err: c.err}, metrics.NewCounters())
			req := &http1.Request{Method: "GET", Path: "/_cluster/settings"}
			res := handler.Serve(context.Background(), 0, req)
			quoted, err := json.Marshal(c.err.Error())
			if err != nil {
				t.Fatal(err)
			}
			want := fmt.Sprintf(`{"error":{"root_cause":[{"type":"%s","reason":%s}],"type":"%s","reason":%s},"status":%d}`,
				c.errType, quoted, c.errType, quoted, c.status)
			if res.Status != c.status || string(res.Body) != want {
				t.Errorf("got  %d %s\nwant %d %s", res.Status, res.Body, c.status, want)
			}
		})
	}
}
