package config

import (
	"reflect"
	"testing"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// storedSettings returns the settings in the snapshot fixture.
func storedSettings() *searchconfig.Config {
	partial := false
	return &searchconfig.Config{
		Revision: 7,
		Search:   searchconfig.Defaults{Timeout: "1500ms", AllowPartial: &partial, MaxResultWindow: 250},
		Indices: map[string]searchconfig.Index{
			"fixed":   {Class: "bulk", Shards: []int{0, 2, 5}},
			"players": {Class: "lookup", ShardMap: storedShardMap()},
		},
		Servers: map[string]searchconfig.Server{
			"s-1": {Protocol: searchconfig.ProtocolSearch},
			"s-2": {Protocol: searchconfig.ProtocolPlain},
		},
	}
}

// The ranges of the stored shard map's shards.
var (
	storedLowRange  = shardmap.Range{First: 0, Last: 0x3fffffffffffffff}
	storedMidRange  = shardmap.Range{First: 0x4000000000000000, Last: 0x7fffffffffffffff}
	storedHighRange = shardmap.Range{First: 0x8000000000000000, Last: 0xffffffffffffffff}
)

// storedFirstID is the id of the stored shard map's first shard.
const storedFirstID = shardmap.FirstDynamicID

// storedShardMap returns a shard map with two open plans, a retired plan and an abandoned plan.
func storedShardMap() *shardmap.Document {
	return &shardmap.Document{
		Version:   9,
		NextShard: storedFirstID + 10,
		NextPlan:  6,
		Shards: []shardmap.Shard{
			{ID: storedFirstID, Range: storedLowRange, Epoch: 1, Replicas: []string{"s-1", "s-2"}},
			{ID: storedFirstID + 4, Range: storedMidRange, Epoch: 8, Replicas: []string{"s-3"}},
			{ID: storedFirstID + 2, Range: storedHighRange, Epoch: 1, Replicas: []string{"s-2"}},
		},
		Plans:   []shardmap.Plan{storedMove(), storedSplit()},
		History: storedHistory(),
	}
}

func storedMove() shardmap.Plan {
	return shardmap.Plan{
		ID:      3,
		Kind:    shardmap.Move,
		Step:    shardmap.Switched,
		Version: 8,
		From: []shardmap.Shard{{
			ID:       storedFirstID + 1,
			Range:    storedMidRange,
			Epoch:    1,
			Replicas: []string{"s-1"},
		}},
		To: []shardmap.Shard{{ID: storedFirstID + 4, Range: storedMidRange, Epoch: 8, Replicas: []string{"s-3"}}},
	}
}

func storedSplit() shardmap.Plan {
	return shardmap.Plan{
		ID:      5,
		Kind:    shardmap.Split,
		Step:    shardmap.Copying,
		Version: 9,
		From: []shardmap.Shard{{
			ID:       storedFirstID,
			Range:    storedLowRange,
			Epoch:    1,
			Replicas: []string{"s-1", "s-2"},
		}},
		To: []shardmap.Shard{
			{
				ID:       storedFirstID + 8,
				Range:    shardmap.Range{First: 0, Last: 0x1fffffffffffffff},
				Replicas: []string{"s-4"},
			},
			{
				ID:       storedFirstID + 9,
				Range:    shardmap.Range{First: 0x2000000000000000, Last: 0x3fffffffffffffff},
				Replicas: []string{"s-5"},
			},
		},
	}
}

func storedHistory() []shardmap.Plan {
	return []shardmap.Plan{
		{
			ID:      1,
			Kind:    shardmap.Merge,
			Step:    shardmap.Retired,
			Version: 4,
			From: []shardmap.Shard{{
				ID:       storedFirstID + 3,
				Range:    storedLowRange,
				Epoch:    1,
				Replicas: []string{"s-9"},
			}},
			To: []shardmap.Shard{{
				ID:       storedFirstID,
				Range:    storedLowRange,
				Epoch:    1,
				Replicas: []string{"s-1", "s-2"},
			}},
		},
		{
			ID:      2,
			Kind:    shardmap.Move,
			Step:    shardmap.Abandoned,
			Version: 6,
			Reason:  "the target is down",
			From: []shardmap.Shard{{
				ID:       storedFirstID + 2,
				Range:    storedHighRange,
				Epoch:    1,
				Replicas: []string{"s-2"},
			}},
			To: []shardmap.Shard{{ID: storedFirstID + 6, Range: storedHighRange, Replicas: []string{"s-6"}}},
		}}
}

// storedState returns the state in the snapshot fixture. No two numbers of a record are equal, so that a test detects
// swapped fields.
func storedState(t *testing.T) *State {
	t.Helper()
	settings := storedSettings()
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	origin := restriction.Origin{Instance: "n1", Incarnation: 4}
	s := NewState(settings)
	s.version, s.settingsVersion = 41, 37
	s.servers["s-1"] = Server{
		Version:     21,
		Spec:        &ServerSpec{Addr: "10.0.0.1:9200", Zone: "zone-a", Kind: "large", Cell: 3},
		Weight:      0.75,
		Restriction: restriction.Draining,
	}
	s.servers["s-2"] = Server{Version: 22, Spec: &ServerSpec{Addr: "10.0.0.2:9200"}}
	s.servers["s-3"] = Server{Version: 23, Weight: 2}
	s.removed["s-8"], s.removed["s-9"] = true, true
	s.sessions["ops"] = clientSession{
		Seq: 5,
		Result: Result{
			Reason:          NoReplicaLeft,
			Detail:          "2 slices",
			Version:         19,
			UncoveredShards: []string{"players/1048576", "cell 3"},
		},
		Version: 31,
	}
	s.sessions["robot"] = clientSession{Seq: 6, Result: Result{Version: 20}, Version: 32}
	s.settled = restriction.NewSettledSet([]restriction.Interval{
		{Origin: origin, UpTo: 7, Above: []uint64{9, 12}},
		{Origin: restriction.Origin{Instance: "n2", Incarnation: 1}, UpTo: 3},
	})
	s.rejected = storedRejections(origin)
	s.memberAddresses["n3"], s.memberAddresses["n4"] = "10.0.1.3:9300", "10.0.1.4:9300"
	return s
}

// storedRejections returns a rejected and a withdrawn restriction.
func storedRejections(origin restriction.Origin) []RejectedRestriction {
	return []RejectedRestriction{
		{
			Request: restriction.Request{
				ID:     restriction.ID{Origin: origin, Seq: 9},
				Server: "s-8",
				Level:  restriction.Removed,
				Force:  true,
			},
			Reason:  ServerIDRetired,
			Version: 33,
		},
		{
			Request: restriction.Request{
				ID:     restriction.ID{Origin: restriction.Origin{Instance: "n2", Incarnation: 1}, Seq: 2},
				Server: "s-1",
				Level:  restriction.Draining,
			},
			Reason:  "undrained",
			Version: 34,
		},
	}
}

// requireState compares all fields of two states. Of the settings it compares the exported fields and the shard maps.
func requireState(t *testing.T, got, want *State) {
	t.Helper()
	gotRest, wantRest := *got, *want
	gotRest.settings, wantRest.settings = nil, nil
	if !reflect.DeepEqual(gotRest, wantRest) {
		t.Errorf("state:\n%+v\nwant:\n%+v", gotRest, wantRest)
	}
	requireSettings(t, got.settings, want.settings)
}

// requireSettings compares the exported fields of settings, and the shard map of each index.
func requireSettings(t *testing.T, got, want *searchconfig.Config) {
	t.Helper()
	gotValue, wantValue := reflect.ValueOf(*got), reflect.ValueOf(*want)
	for i := range gotValue.NumField() {
		field := gotValue.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if !reflect.DeepEqual(gotValue.Field(i).Interface(), wantValue.Field(i).Interface()) {
			t.Errorf("settings field %s:\n%+v\nwant:\n%+v", field.Name, gotValue.Field(i), wantValue.Field(i))
		}
	}
	for name, index := range want.Indices {
		shardMap := got.ShardMap(name)
		if (shardMap != nil) != (index.ShardMap != nil) {
			t.Errorf("index %s: has a shard map = %t, want %t", name, shardMap != nil, index.ShardMap != nil)
		} else if shardMap != nil && !reflect.DeepEqual(shardMap.Document(), *index.ShardMap) {
			t.Errorf("index %s: shard map\n%+v\nwant:\n%+v", name, shardMap.Document(), *index.ShardMap)
		}
	}
}

func mustSnapshot(t *testing.T, s *State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
