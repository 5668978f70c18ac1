package daemon

import (
	"testing"

	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/store"
)

// goldenSearch is the content of testdata/operators.toml.
func goldenSearch(t *testing.T) SearchConfig {
	t.Helper()
	replan := false
	s := SearchConfig{
		Listen: "127.0.0.1:9200",
		Config: goldenSearchSettings(),
		Store: store.Config{
			ID:        "a",
			Dir:       "/var/lib/linkpass/store",
			Join:      true,
			TimeScale: 1.5,
			Members: []store.Member{
				{ID: "a", Raft: "127.0.0.1:9300", HTTP: "127.0.0.1:9200"},
				{ID: "b", Raft: "127.0.0.1:9400", HTTP: "127.0.0.1:9401"},
			},
		},
		Reshape: ReshardingConfig{
			Moves:       5,
			PerServer:   2,
			Poll:        "1100ms",
			RetireAfter: "6s",
			Patience:    "11m",
			Replan:      &replan,
		},
		Bodies: goldenSearchBodies(),
		Operator: AdminConfig{
			Socket: "/run/linkpass/linkpass.sock",
			Listen: "127.0.0.1:9301",
			Keys:   "/etc/linkpass/operator-keys.toml",
			Window: "31s",
		},
		Log: LogConfig{Format: "json", Level: "debug", Levels: map[string]string{"peer": "warn"}},
	}
	if err := s.Config.Validate(); err != nil { // creates the shard maps
		t.Fatal(err)
	}
	return s
}

func goldenSearchBodies() BodyConfig {
	return BodyConfig{
		MemoryKiB:  8193,
		LargestKiB: 1025,
		FilesKiB:   262145,
		Dir:        "/var/lib/linkpass/bodies",
		MaxKiB:     65,
		Off:        true,
		Classes:    map[string]BodyClassConfig{"trade": {GuaranteedKiB: 129, MaxMemoryShare: 0.25}},
	}
}

func goldenSearchSettings() searchconfig.Config {
	partial := false
	return searchconfig.Config{
		Search: searchconfig.Defaults{Timeout: "1500ms", AllowPartial: &partial, MaxResultWindow: 10001},
		Indices: map[string]searchconfig.Index{
			"players": {Class: "team-lookup", Shards: []int{0, 2, 5}},
			"scores": {
				Class: "league-table",
				InitialSharding: &searchconfig.InitialSharding{
					Shards:      4,
					ReplicaSets: [][]string{{"s-01", "s-02"}, {"s-03", "s-04"}},
				},
			},
			"moves": {Class: "trade", ShardMap: goldenSearchShardMap()},
		},
		Servers: map[string]searchconfig.Server{
			"s-5be2a07c": {Protocol: "search"},
			"s-2":        {Protocol: "plain"},
		},
	}
}

func goldenSearchShardMap() *shardmap.Document {
	return &shardmap.Document{
		Version:   7,
		NextShard: 1048580,
		NextPlan:  3,
		Shards: []shardmap.Shard{
			{
				ID:       1048577,
				Range:    shardmap.Range{First: 0, Last: 1<<63 - 1},
				Epoch:    1,
				Replicas: []string{"s-01", "s-02"},
			},
			{
				ID:       1048579,
				Range:    shardmap.Range{First: 1 << 63, Last: 1<<64 - 1},
				Epoch:    5,
				Replicas: []string{"s-03"},
			},
		},
	}
}
