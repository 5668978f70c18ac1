package adminapi

import (
	"encoding/json"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// Values of the API's types with every field set, no two of them to the same value.
var (
	goldenStatus = Status{
		Name:            "n1",
		Program:         "v1.2.3",
		PID:             4711,
		State:           "serving",
		UptimeS:         12.5,
		Core:            "ok",
		InFlight:        3,
		Attempts:        4,
		ServersKnown:    80,
		ServersExcluded: 2,
		Classes:         []ClassStatus{{Name: "team-lookup", Served: 100, Rejected: 5, Failed: 6}},
		Bodies: &BodyStatus{
			Stored:   11,
			Shared:   12,
			Arriving: 13,
			Waiting:  14,
			Memory:   15,
			Files:    16,
			Disk:     17,
		},
		ShardMaps: []ShardMapSummary{{Index: "players", Version: 21, Shards: 22, Plans: 23}},
		Store: &StoreStatus{
			ID:       "a",
			Leader:   "b",
			Revision: 31,
			Members:  []StoreMember{{ID: "b", Raft: "127.0.0.1:9300", HTTP: "127.0.0.1:9200", Leader: true}},
		},
		Fronts:      []string{"127.0.0.1:8080"},
		AdminListen: "127.0.0.1:8090",
		ResidentKB:  41,
	}
	goldenServers = []Server{{
		Name:                   "s-1",
		State:                  "draining",
		Excluded:               "slow",
		InFlight:               2,
		MedianMS:               1.25,
		Health:                 map[string]float64{"league-table": 0.5, "team-lookup": 1},
		WarmingUp:              true,
		ConsecutiveProbeLosses: 3,
	}}
	goldenShard = shardmap.Shard{
		ID:       shardmap.FirstDynamicID,
		Range:    shardmap.Range{First: 1, Last: 0xff},
		Epoch:    51,
		Replicas: []string{"s-1", "s-2"},
	}
	goldenShardMaps = []IndexShardMap{{
		Index:   "players",
		Version: 52,
		Total:   53,
		Shards:  []shardmap.Shard{goldenShard},
		Plans: []shardmap.Plan{{
			ID:   54,
			Kind: shardmap.Split,
			Step: shardmap.Abandoned,
			From: []shardmap.Shard{goldenShard},
			To: []shardmap.Shard{{
				ID:       shardmap.FirstDynamicID + 1,
				Range:    shardmap.Range{First: 2, Last: 0x7f},
				Epoch:    55,
				Replicas: []string{"s-3"},
			}},
			Version: 56,
			Reason:  "ordered",
		}},
	}}
	goldenRestriction = restriction.Request{
		ID:     restriction.ID{Origin: restriction.Origin{Instance: "a", Incarnation: 61}, Seq: 62},
		Server: "s-1",
		Level:  restriction.Draining,
		Force:  true,
	}
	goldenSpec            = config.ServerSpec{Addr: "127.0.0.1:7001", Zone: "z1", Kind: "large", Cell: 2}
	goldenReplicatedState = ReplicatedState{
		Version: 71,
		Hash:    "c0ffee",
		Servers: map[string]config.Server{"s-1": {
			Version:     72,
			Spec:        &goldenSpec,
			Weight:      0.75,
			Restriction: restriction.Draining,
		}},
		Removed: []string{"s-9"},
		Pending: []restriction.Request{goldenRestriction},
		Rejected: []config.RejectedRestriction{{
			Request: goldenRestriction,
			Reason:  config.NoReplicaLeft,
			Version: 73,
		}},
	}
	goldenServerRequest = ServerRequest{
		Server:          "s-1",
		Action:          "add",
		Force:           true,
		Weight:          0.75,
		Spec:            &goldenSpec,
		ExpectedVersion: 81,
		ClientID:        "cli-1",
		Seq:             82,
	}
	goldenServerResponse = ServerResponse{
		Scope:           "everywhere",
		RestrictionID:   "a.61.62",
		Version:         83,
		UncoveredShards: []string{"slice 3"},
	}
	goldenMemberRequest = MemberRequest{Action: "join", ID: "c", Raft: "127.0.0.1:9302", HTTP: "127.0.0.1:9202"}
	goldenSettings      = []Setting{{Key: "reshape.moves", Value: "4", Source: "default"}}
	goldenReloadResult  = ReloadResult{
		Applied:      []string{"reshape.moves"},
		NeedsRestart: []string{"listen"},
		Replicated:   []string{"indices.players.class"},
	}
	goldenDocument = `{"revision":9,"search":{"max_result_window":50},` +
		`"indices":{"players":{"class":"team-lookup","slices":[0,1]}}}`
	goldenBackup = Backup{
		Format:   1,
		Taken:    time.Date(2026, 12, 2, 5, 0, 0, 123, time.UTC),
		Revision: 9,
		Sum:      checksum([]byte(goldenDocument)),
		Document: json.RawMessage(goldenDocument),
	}
)
