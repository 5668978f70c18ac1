package searchconfig

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"linkpass/internal/goldentest"
	"linkpass/internal/shardmap"
)

func goldenConfig(t *testing.T) Config {
	t.Helper()
	l, err := shardmap.NewEven(2, [][]string{{"s-1", "s-2"}, {"s-3"}})
	if err != nil {
		t.Fatal(err)
	}
	l, err = l.Apply(shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2}})
	if err != nil {
		t.Fatal(err)
	}
	partial, d := false, l.Document()
	return Config{Revision: 7, Search: Defaults{Timeout: "1500ms", AllowPartial: &partial, MaxResultWindow: 500},
		Indices: map[string]Index{"movable": {Class: "league-table", ShardMap: &d}, "fixed": {Class: "team-lookup", Shards: []int{0, 1}}},
		Servers: map[string]Server{"s-1": {Protocol: "search"}}}
}

// A whole document; an index's spread is only read, never written, as its layout takes its place.
func TestConfigDocumentGolden(t *testing.T) {
	want := goldenConfig(t)
	goldentest.Encodes(t, "document.json", &want)
	got, err := Parse(goldentest.Read(t, "document.json"))
	if err != nil {
		t.Fatal(err)
	}
	if l := got.ShardMap("movable"); l == nil || !reflect.DeepEqual(l.Document(), *want.Indices["movable"].ShardMap) {
		t.Errorf("layout %+v", l)
	}
	got.shardMaps = nil
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, want %+v", *got, want)
	}
	goldentest.Encodes(t, "document_empty.json", &Config{Indices: map[string]Index{"i": {}}, Servers: map[string]Server{"s": {}}})
}

func TestInitialShardingGolden(t *testing.T) {
	want := Index{Class: "team-lookup", Shards: []int{3}, InitialSharding: &InitialSharding{Shards: 4, ReplicaSets: [][]string{{"s-1"}, {"s-2", "s-3"}}}}
	goldentest.Encodes(t, "index_spread.json", want)
	goldentest.Decodes(t, "index_spread.json", want)
}

func TestConfigTOMLGolden(t *testing.T) {
	want := goldenConfig(t)
	want.Revision = 0 // counted by the store alone
	want.Indices["spread"] = Index{Class: "team-lookup", InitialSharding: &InitialSharding{Shards: 4, ReplicaSets: [][]string{{"s-1"}, {"s-2", "s-3"}}}}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(want); err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "document.toml", b.Bytes())
	var got Config
	if meta, err := toml.Decode(string(goldentest.Read(t, "document.toml")), &got); err != nil || len(meta.Undecoded()) > 0 {
		t.Fatal(err, meta.Undecoded())
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Merge patches by the files patch_N.json on the golden document give patched_N.json; what a patch does not name stays.
func TestConfigMergePatchGolden(t *testing.T) {
	for _, name := range []string{"nested.json", "dotted.json", "removed.json", "spread.json"} {
		t.Run(name, func(t *testing.T) {
			before, err := Parse(goldentest.Read(t, "document.json"))
			if err != nil {
				t.Fatal(err)
			}
			after, err := before.Patch(goldentest.Read(t, "patch_"+name))
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Encodes(t, "patched_"+name, after)
			kept, err := json.Marshal(before)
			if err != nil || !bytes.Equal(kept, goldentest.Read(t, "document.json")) {
				t.Errorf("the document before has changed: %s, %v", kept, err)
			}
		})
	}
}
