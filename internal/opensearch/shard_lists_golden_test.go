package opensearch

import (
	"testing"

	"linkpass/internal/goldentest"
)

func TestShardListsGolden(t *testing.T) {
	f := newFront(&fakeCore{})
	f.SearchConfig = known(goldenConfig(t))
	f.Settings = FixedSettingsHandler(goldenConfig(t))
	for _, c := range []struct{ file, method, target string }{
		{"cat_shards.http", "GET", "/_cat/shards"},
		{"cat_shards_v.http", "GET", "/_cat/shards/movable?v"},
		{"cat_shards_json.http", "GET", "/_cat/shards?format=json"},
		{"cat_shards_unknown.http", "GET", "/_cat/shards/none"},
		{"search_shards.http", "GET", "/movable/_search_shards"},
		{"search_shards_routing.http", "POST", "/movable/_search_shards?routing=li"},
		{"search_shards_fixed.http", "GET", "/players/_search_shards"},
		{"cluster_settings.http", "GET", "/_cluster/settings"},
		{"cluster_settings_fixed.http", "PUT", "/_cluster/settings"},
		{"no_handler.http", "GET", "/_none"},
		{"search_method.http", "PUT", "/players/_search"},
		{"search_unknown_index.http", "POST", "/none/_search"},
		{"search_unknown_shard.http", "POST", "/movable/_search?preference=_shards:5"},
		{"search_window.http", "POST", "/players/_search?size=101"},
		{"search_unknown_parameter.http", "POST", "/players/_search?scroll=1m"},
	} {
		t.Run(c.file, func(t *testing.T) {
			res, _ := serve(f, c.method, c.target, "")
			goldentest.Bytes(t, c.file, responseBytes(t, res))
		})
	}
}
