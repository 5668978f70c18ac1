package shardmap_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"linkpass/internal/config"
	"linkpass/internal/goldentest"
	"linkpass/internal/shardmap"
)

// mapWithPlans returns a map with an open plan of each kind and an abandoned one.
func mapWithPlans(t *testing.T) *shardmap.Map {
	t.Helper()
	m, err := shardmap.NewEven(4, [][]string{{"s-1", "s-2"}, {"s-3", "s-4"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range planCommands() {
		if m, err = m.Apply(c); err != nil {
			t.Fatalf("Apply(%+v): %v", c, err)
		}
	}
	return m
}

// planCommands returns the commands that create the plans of mapWithPlans.
func planCommands() []shardmap.Command {
	const first = shardmap.FirstDynamicID
	moved := map[shardmap.ShardID][]string{first + 7: {"s-8"}}
	return []shardmap.Command{
		{
			ExpectedVersion: 1,
			Request: &shardmap.PlanRequest{
				Kind:        shardmap.Split,
				Shards:      []shardmap.ShardID{first},
				Pieces:      2,
				ReplicaSets: [][]string{{"s-5"}, {"s-6", "s-7"}},
			},
		},
		{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Copying}},
		{Abandon: &shardmap.Abandon{Plan: 1, Reason: "ordered"}},
		{Request: &shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{first, first + 1}}},
		{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Move,
			Shards:      []shardmap.ShardID{first + 2},
			ReplicaSets: [][]string{{"s-8"}},
		}},
		{Advance: &shardmap.Advance{Plan: 3, Step: shardmap.Copying}},
		{Advance: &shardmap.Advance{Plan: 3, Step: shardmap.Replicated, Replicas: moved}},
		{Advance: &shardmap.Advance{Plan: 3, Step: shardmap.Switched, Replicas: moved}},
		{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{first + 3}, Pieces: 3}},
	}
}

func TestDocumentGolden(t *testing.T) {
	want := mapWithPlans(t)
	goldentest.Encodes(t, "layout.json", want.Document())
	goldentest.Decodes(t, "layout.json", want.Document())
	t.Run("TOML", func(t *testing.T) {
		var b bytes.Buffer
		if err := toml.NewEncoder(&b).Encode(want.Document()); err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, "layout.toml", b.Bytes())
		var got shardmap.Document
		meta, err := toml.Decode(string(goldentest.Read(t, "layout.toml")), &got)
		if err != nil || len(meta.Undecoded()) > 0 {
			t.Fatalf("decode layout.toml: error %v, undecoded keys %v", err, meta.Undecoded())
		}
		if !reflect.DeepEqual(got, want.Document()) {
			t.Errorf("got %+v, want %+v", got, want.Document())
		}
		m, err := got.Map(nil)
		if err != nil || !reflect.DeepEqual(m.Document(), want.Document()) {
			t.Errorf("map of the decoded document = %+v, error %v; want the document %+v", m, err, want.Document())
		}
	})
}

func TestPlanRequestGolden(t *testing.T) {
	goldentest.JSON(t, "order.json", shardmap.PlanRequest{
		Kind:        shardmap.Merge,
		Shards:      []shardmap.ShardID{shardmap.FirstDynamicID, shardmap.FirstDynamicID + 1},
		Pieces:      3,
		ReplicaSets: [][]string{{"s-1", "s-2"}, {"s-3"}},
	})
}

// Shard map commands are replicated in CBOR. The JSON tags of their fields are the stored names.
func TestCommandsGolden(t *testing.T) {
	for file, c := range map[string]shardmap.Command{
		"command_order.cbor": {
			ExpectedVersion: 5,
			Request: &shardmap.PlanRequest{
				Kind:        shardmap.Split,
				Shards:      []shardmap.ShardID{shardmap.FirstDynamicID},
				Pieces:      2,
				ReplicaSets: [][]string{{"s-1"}, {"s-2"}},
			},
		},
		"command_advance.cbor": {ExpectedVersion: 6, Advance: &shardmap.Advance{
			Plan:     7,
			Step:     shardmap.Replicated,
			Replicas: map[shardmap.ShardID][]string{shardmap.FirstDynamicID: {"s-1", "s-2"}},
		}},
		"command_abandon.cbor": {ExpectedVersion: 8, Abandon: &shardmap.Abandon{Plan: 9, Reason: "ordered"}},
	} {
		t.Run(file, func(t *testing.T) {
			want := config.Command{Kind: config.AdvanceShardMap, Index: "players", ShardMapCommand: &c}
			data, err := config.Encode(want)
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Bytes(t, file, data)
			got, err := config.Decode(goldentest.Read(t, file))
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v; want %+v", got, err, want)
			}
		})
	}
}

// The texts of kinds and steps are part of documents, commands and _cat/shards.
func TestKindAndStepValues(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(shardmap.Split), "split"},
		{string(shardmap.Merge), "merge"},
		{string(shardmap.Move), "move"},
		{string(shardmap.Planned), "planned"},
		{string(shardmap.Copying), "copying"},
		{string(shardmap.Replicated), "both_hold"},
		{string(shardmap.Switched), "switched"},
		{string(shardmap.Retired), "retired"},
		{string(shardmap.Abandoned), "abandoned"},
	} {
		if c.got != c.want {
			t.Errorf("got %q, want %q", c.got, c.want)
		}
	}
}
