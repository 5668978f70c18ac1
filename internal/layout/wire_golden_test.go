package layout_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"linkpass/internal/config"
	"linkpass/internal/goldentest"
	"linkpass/internal/layout"
)

// planned is a layout that has an open plan of each kind and one that was abandoned.
func planned(t *testing.T) *layout.Layout {
	t.Helper()
	l, err := layout.Even(4, [][]string{{"s-1", "s-2"}, {"s-3", "s-4"}})
	if err != nil {
		t.Fatal(err)
	}
	first := layout.FirstSlice
	for _, c := range []layout.Command{
		{At: 1, Order: &layout.Order{Kind: layout.Split, Slices: []layout.SliceID{first}, Into: 2, To: [][]string{{"s-5"}, {"s-6", "s-7"}}}},
		{Advance: &layout.Advance{Plan: 1, Step: layout.Copying}},
		{Abandon: &layout.Abandon{Plan: 1, Why: "ordered"}},
		{Order: &layout.Order{Kind: layout.Merge, Slices: []layout.SliceID{first, first + 1}}},
		{Order: &layout.Order{Kind: layout.Move, Slices: []layout.SliceID{first + 2}, To: [][]string{{"s-8"}}}},
		{Advance: &layout.Advance{Plan: 3, Step: layout.Copying}},
		{Advance: &layout.Advance{Plan: 3, Step: layout.BothHold, Holding: map[layout.SliceID][]string{first + 7: {"s-8"}}}},
		{Advance: &layout.Advance{Plan: 3, Step: layout.Switched, Holding: map[layout.SliceID][]string{first + 7: {"s-8"}}}},
		{Order: &layout.Order{Kind: layout.Split, Slices: []layout.SliceID{first + 3}, Into: 3}},
	} {
		if l, err = l.Apply(c); err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
	}
	return l
}

func TestLayoutDocumentGolden(t *testing.T) {
	want := planned(t)
	goldentest.Encodes(t, "layout.json", want.Document())
	goldentest.Decodes(t, "layout.json", want.Document())
	t.Run("TOML", func(t *testing.T) {
		var b bytes.Buffer
		if err := toml.NewEncoder(&b).Encode(want.Document()); err != nil {
			t.Fatal(err)
		}
		goldentest.Bytes(t, "layout.toml", b.Bytes())
		var got layout.Document
		if meta, err := toml.Decode(string(goldentest.Read(t, "layout.toml")), &got); err != nil || len(meta.Undecoded()) > 0 {
			t.Fatal(err, meta.Undecoded())
		}
		if !reflect.DeepEqual(got, want.Document()) {
			t.Errorf("got %+v, want %+v", got, want.Document())
		}
		l, err := got.Layout(nil)
		if err != nil || !reflect.DeepEqual(l.Document(), want.Document()) {
			t.Errorf("the layout of it is %+v, %v", l, err)
		}
	})
}

func TestPlanOrderGolden(t *testing.T) {
	goldentest.JSON(t, "order.json", layout.Order{Kind: layout.Merge, Slices: []layout.SliceID{layout.FirstSlice, layout.FirstSlice + 1},
		Into: 3, To: [][]string{{"s-1", "s-2"}, {"s-3"}}})
}

// A layout's commands are replicated in CBOR under the names of their Go fields: of Command, Advance and Abandon, which have
// no tags, and of Order by its JSON tags.
func TestLayoutCommandsGolden(t *testing.T) {
	for file, c := range map[string]layout.Command{
		"command_order.cbor": {At: 5, Order: &layout.Order{Kind: layout.Split, Slices: []layout.SliceID{layout.FirstSlice}, Into: 2, To: [][]string{{"s-1"}, {"s-2"}}}},
		"command_advance.cbor": {At: 6, Advance: &layout.Advance{Plan: 7, Step: layout.BothHold,
			Holding: map[layout.SliceID][]string{layout.FirstSlice: {"s-1", "s-2"}}}},
		"command_abandon.cbor": {At: 8, Abandon: &layout.Abandon{Plan: 9, Why: "ordered"}},
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

// The words of kinds and steps, as documents, commands and _cat/shards carry them.
func TestKindAndStepWords(t *testing.T) {
	got := []string{string(layout.Split), string(layout.Merge), string(layout.Move), string(layout.Planned), string(layout.Copying),
		string(layout.BothHold), string(layout.Switched), string(layout.Retired), string(layout.Abandoned)}
	want := []string{"split", "merge", "move", "planned", "copying", "both_hold", "switched", "retired", "abandoned"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
