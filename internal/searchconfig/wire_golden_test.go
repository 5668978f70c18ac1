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

// goldenConfig returns a document with an index that has fixed shards, and one whose shard map has an open split.
func goldenConfig(t *testing.T) Config {
	t.Helper()
	shardMap, err := shardmap.NewEven(2, [][]string{{"s-1", "s-2"}, {"s-3"}})
	if err != nil {
		t.Fatal(err)
	}
	shardMap, err = shardMap.Apply(shardmap.Command{Request: &shardmap.PlanRequest{
		Kind:   shardmap.Split,
		Shards: []shardmap.ShardID{shardmap.FirstDynamicID},
		Pieces: 2,
	}})
	if err != nil {
		t.Fatal(err)
	}
	partial, document := false, shardMap.Document()
	return Config{
		Revision: 7,
		Search:   Defaults{Timeout: "1500ms", AllowPartial: &partial, MaxResultWindow: 500},
		Indices: map[string]Index{
			"movable": {Class: "league-table", ShardMap: &document},
			"fixed":   {Class: "team-lookup", Shards: []int{0, 1}},
		},
		Servers: map[string]Server{"s-1": {Protocol: "search"}},
	}
}

// The golden file is a complete document. It has no initial sharding, because that is read but not written: the shard
// map generated from it replaces it.
func TestConfigDocumentGolden(t *testing.T) {
	want := goldenConfig(t)
	goldentest.Encodes(t, "document.json", &want)
	got, err := Parse(goldentest.Read(t, "document.json"))
	if err != nil {
		t.Fatal(err)
	}
	shardMap := got.ShardMap("movable")
	if shardMap == nil || !reflect.DeepEqual(shardMap.Document(), *want.Indices["movable"].ShardMap) {
		t.Errorf("shard map = %+v, want that of the golden document", shardMap)
	}
	got.shardMaps = nil
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, want %+v", *got, want)
	}
	goldentest.Encodes(t, "document_empty.json", &Config{
		Indices: map[string]Index{"i": {}},
		Servers: map[string]Server{"s": {}},
	})
}

func TestInitialShardingGolden(t *testing.T) {
	want := Index{
		Class:           "team-lookup",
		Shards:          []int{3},
		InitialSharding: &InitialSharding{Shards: 4, ReplicaSets: [][]string{{"s-1"}, {"s-2", "s-3"}}},
	}
	goldentest.Encodes(t, "index_spread.json", want)
	goldentest.Decodes(t, "index_spread.json", want)
}

func TestConfigTOMLGolden(t *testing.T) {
	want := goldenConfig(t)
	want.Revision = 0 // TOML omits the revision, which only the store counts
	want.Indices["spread"] = Index{
		Class:           "team-lookup",
		InitialSharding: &InitialSharding{Shards: 4, ReplicaSets: [][]string{{"s-1"}, {"s-2", "s-3"}}},
	}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(want); err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "document.toml", b.Bytes())
	var got Config
	meta, err := toml.Decode(string(goldentest.Read(t, "document.toml")), &got)
	if err != nil || len(meta.Undecoded()) > 0 {
		t.Fatalf("error = %v, undecoded keys = %v, want none", err, meta.Undecoded())
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// For each name, merging patch_<name> into the golden document produces patched_<name>. Fields that the patch does not
// name stay, and the original document is not modified.
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
			unchanged, err := json.Marshal(before)
			if err != nil || !bytes.Equal(unchanged, goldentest.Read(t, "document.json")) {
				t.Errorf("Patch changed the original document to %s, error %v", unchanged, err)
			}
		})
	}
}
