package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
)

// writeStored adds fixtures that are missing. One that exists is never written again: it stands for the data that earlier
// versions left on disk, and a change of the format gets a fixture of its own.
var writeStored = flag.Bool("write-stored", false, "write the stored-data fixtures that are missing")

const storedDir = "testdata/stored"

// readFixture returns a fixture's bytes. With -write-stored, a fixture that does not exist is written first.
func readFixture(t *testing.T, name string, create func() []byte) []byte {
	t.Helper()
	path := filepath.Join(storedDir, name)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && *writeStored {
		data = create()
		err = errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, data, 0o644))
	}
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// storedDocument is a settings document as a client sends it: with a fixed index, a spread and a layout given by hand.
const storedDocument = `{"search":{"default_search_timeout":"750ms","default_allow_partial_results":false,"max_result_window":500},` +
	`"indices":{"fixed":{"class":"c1","slices":[3,4]},"spread":{"class":"c2","spread":{"slices":2,"sets":[["s-1"],["s-2"]]}},` +
	`"byhand":{"class":"c3","layout":{"version":2,"slices":[{"id":1048576,"range":"0000000000000000-ffffffffffffffff","epoch":2,"holders":["s-3"]}]}}},` +
	`"servers":{"s-1":{"protocol":"search"}}}`

// storedCommands are the commands that the entry fixtures hold, by the fixture's name.
func storedCommands() map[string]Command {
	spec := &ServerSpec{Addr: "10.0.0.1:9200", Zone: "zone-a", Kind: "large", Cell: 3}
	id := restriction.ID{Origin: restriction.Origin{Instance: "n1", Incarnation: 4}, Seq: 9}
	other := restriction.ID{Origin: restriction.Origin{Instance: "n2", Incarnation: 5}, Seq: 11}
	order := &restriction.Request{ID: id, Server: "s-1", Level: restriction.Draining}
	forced := &restriction.Request{ID: other, Server: "s-2", Level: restriction.Removed, Force: true}
	step := func(c shardmap.Command) *shardmap.Command { return &c }
	open := &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID, shardmap.FirstDynamicID + 1}, Pieces: 2, ReplicaSets: [][]string{{"s-1", "s-2"}, {"s-3"}}}
	advance := &shardmap.Advance{Plan: 6, Step: shardmap.Replicated, Replicas: map[shardmap.ShardID][]string{shardmap.FirstDynamicID + 2: {"s-1"}, shardmap.FirstDynamicID + 3: {"s-2", "s-3"}}}
	abandon := &shardmap.Abandon{Plan: 7, Reason: "the target is down"}
	return map[string]Command{
		"add_server":     {Kind: AddServer, ClientID: "ops", Seq: 1, Server: "s-1", Spec: spec},
		"change_server":  {Kind: UpdateServer, ExpectedVersion: 12, Server: "s-1", Spec: &ServerSpec{Addr: "10.0.0.2:9200"}},
		"restrict":       {Kind: RestrictServer, Restriction: order},
		"restrict_force": {Kind: RestrictServer, Restriction: forced},
		"undrain":        {Kind: UndrainServer, Server: "s-1", WithdrawnIDs: []restriction.ID{id, other}},
		"set_weight":     {Kind: SetServerWeight, Server: "s-1", Weight: 0.75},
		"patch":          {Kind: PatchSettings, ExpectedVersion: 3, Payload: []byte(`{"search.max_result_window":5}`)},
		"document":       {Kind: ReplaceSettings, Payload: []byte(storedDocument)},
		"layout_order":   {Kind: AdvanceShardMap, Index: "players", ShardMapCommand: step(shardmap.Command{ExpectedVersion: 8, Request: open})},
		"layout_advance": {Kind: AdvanceShardMap, Index: "players", ShardMapCommand: step(shardmap.Command{Advance: advance})},
		"layout_abandon": {Kind: AdvanceShardMap, Index: "players", ShardMapCommand: step(shardmap.Command{Abandon: abandon})},
		"set_peer":       {Kind: SetMemberAddress, Server: "n3", Payload: []byte("10.0.1.3:9300")},
		"drop_peer":      {Kind: RemoveMemberAddress, Server: "n3"},
		"zero_values": {Kind: AdvanceShardMap, Spec: &ServerSpec{}, Restriction: &restriction.Request{}, WithdrawnIDs: []restriction.ID{{}},
			ShardMapCommand: step(shardmap.Command{Request: &shardmap.PlanRequest{}, Advance: &shardmap.Advance{}, Abandon: &shardmap.Abandon{}})},
		"every_field": {Kind: AdvanceShardMap, ClientID: "ops", Seq: 2, ExpectedVersion: 5, Server: "s-1", Spec: spec, Weight: 1.5, Restriction: forced, WithdrawnIDs: []restriction.ID{id},
			Payload: []byte("text"), Index: "players", ShardMapCommand: step(shardmap.Command{ExpectedVersion: 9, Request: open, Advance: advance, Abandon: abandon})},
	}
}

// storedSettings is the settings of the snapshot fixture.
func storedSettings() *searchconfig.Config {
	const first = shardmap.FirstDynamicID
	partial := false
	whole := func(from, to uint64) shardmap.Range { return shardmap.Range{First: from, Last: to} }
	low, mid, high := whole(0, 0x3fffffffffffffff), whole(0x4000000000000000, 0x7fffffffffffffff), whole(0x8000000000000000, 0xffffffffffffffff)
	return &searchconfig.Config{
		Revision: 7,
		Search:   searchconfig.Defaults{Timeout: "1500ms", AllowPartial: &partial, MaxResultWindow: 250},
		Indices: map[string]searchconfig.Index{
			"fixed": {Class: "bulk", Shards: []int{0, 2, 5}},
			"players": {Class: "lookup", ShardMap: &shardmap.Document{Version: 9, NextShard: first + 10, NextPlan: 6,
				Shards: []shardmap.Shard{{ID: first, Range: low, Epoch: 1, Replicas: []string{"s-1", "s-2"}},
					{ID: first + 4, Range: mid, Epoch: 8, Replicas: []string{"s-3"}},
					{ID: first + 2, Range: high, Epoch: 1, Replicas: []string{"s-2"}}},
				Plans: []shardmap.Plan{
					{ID: 3, Kind: shardmap.Move, Step: shardmap.Switched, Version: 8,
						From: []shardmap.Shard{{ID: first + 1, Range: mid, Epoch: 1, Replicas: []string{"s-1"}}},
						To:   []shardmap.Shard{{ID: first + 4, Range: mid, Epoch: 8, Replicas: []string{"s-3"}}}},
					{ID: 5, Kind: shardmap.Split, Step: shardmap.Copying, Version: 9,
						From: []shardmap.Shard{{ID: first, Range: low, Epoch: 1, Replicas: []string{"s-1", "s-2"}}},
						To: []shardmap.Shard{{ID: first + 8, Range: whole(0, 0x1fffffffffffffff), Replicas: []string{"s-4"}},
							{ID: first + 9, Range: whole(0x2000000000000000, 0x3fffffffffffffff), Replicas: []string{"s-5"}}}}},
				History: []shardmap.Plan{
					{ID: 1, Kind: shardmap.Merge, Step: shardmap.Retired, Version: 4,
						From: []shardmap.Shard{{ID: first + 3, Range: low, Epoch: 1, Replicas: []string{"s-9"}}},
						To:   []shardmap.Shard{{ID: first, Range: low, Epoch: 1, Replicas: []string{"s-1", "s-2"}}}},
					{ID: 2, Kind: shardmap.Move, Step: shardmap.Abandoned, Version: 6, Reason: "the target is down",
						From: []shardmap.Shard{{ID: first + 2, Range: high, Epoch: 1, Replicas: []string{"s-2"}}},
						To:   []shardmap.Shard{{ID: first + 6, Range: high, Replicas: []string{"s-6"}}}}}}},
		},
		Servers: map[string]searchconfig.Server{"s-1": {Protocol: searchconfig.ProtocolSearch}, "s-2": {Protocol: searchconfig.ProtocolPlain}},
	}
}

// storedState is the state of the snapshot fixture. No two numbers of a record are alike, so that fields which trade places
// are seen.
func storedState(t *testing.T) *State {
	t.Helper()
	settings := storedSettings()
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	origin := restriction.Origin{Instance: "n1", Incarnation: 4}
	s := NewState(settings)
	s.version, s.settingsVersion = 41, 37
	s.servers["s-1"] = Server{Version: 21, Spec: &ServerSpec{Addr: "10.0.0.1:9200", Zone: "zone-a", Kind: "large", Cell: 3}, Weight: 0.75, Restriction: restriction.Draining}
	s.servers["s-2"] = Server{Version: 22, Spec: &ServerSpec{Addr: "10.0.0.2:9200"}}
	s.servers["s-3"] = Server{Version: 23, Weight: 2}
	s.removed["s-8"], s.removed["s-9"] = true, true
	s.sessions["ops"] = clientSession{Seq: 5, Result: Result{Reason: NoReplicaLeft, Detail: "2 slices", Version: 19, UncoveredShards: []string{"players/1048576", "cell 3"}}, Version: 31}
	s.sessions["robot"] = clientSession{Seq: 6, Result: Result{Version: 20}, Version: 32}
	s.settled = restriction.NewSettledSet([]restriction.Interval{{Origin: origin, UpTo: 7, Above: []uint64{9, 12}}, {Origin: restriction.Origin{Instance: "n2", Incarnation: 1}, UpTo: 3}})
	s.rejected = []RejectedRestriction{
		{Request: restriction.Request{ID: restriction.ID{Origin: origin, Seq: 9}, Server: "s-8", Level: restriction.Removed, Force: true}, Reason: ServerIDRetired, Version: 33},
		{Request: restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: "n2", Incarnation: 1}, Seq: 2}, Server: "s-1", Level: restriction.Draining}, Reason: "undrained", Version: 34}}
	s.memberAddresses["n3"], s.memberAddresses["n4"] = "10.0.1.3:9300", "10.0.1.4:9300"
	return s
}

// requireState compares all of two states, the settings by their exported fields and their layouts.
func requireState(t *testing.T, got, want *State) {
	t.Helper()
	a, b := *got, *want
	a.settings, b.settings = nil, nil
	if !reflect.DeepEqual(a, b) {
		t.Errorf("state:\n%+v\nwant:\n%+v", a, b)
	}
	c, d := reflect.ValueOf(*got.settings), reflect.ValueOf(*want.settings)
	for i := range c.NumField() {
		if f := c.Type().Field(i); f.IsExported() && !reflect.DeepEqual(c.Field(i).Interface(), d.Field(i).Interface()) {
			t.Errorf("settings, %s:\n%+v\nwant:\n%+v", f.Name, c.Field(i), d.Field(i))
		}
	}
	for name, index := range want.settings.Indices {
		l := got.settings.ShardMap(name)
		if (l != nil) != (index.ShardMap != nil) {
			t.Errorf("index %s: has a layout: %t", name, l != nil)
		} else if l != nil && !reflect.DeepEqual(l.Document(), *index.ShardMap) {
			t.Errorf("index %s: layout\n%+v\nwant:\n%+v", name, l.Document(), *index.ShardMap)
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

func TestStoredEntryReadsBaseFormat(t *testing.T) {
	commands := storedCommands()
	for name, want := range commands {
		t.Run(name, func(t *testing.T) {
			entry := readFixture(t, "entry_"+name+".cbor", func() []byte {
				data, err := Encode(want)
				if err != nil {
					t.Fatal(err)
				}
				return data
			})
			got, err := Decode(entry)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded\n%+v\nwant\n%+v", got, want)
			}
			if again, err := Encode(got); err != nil || !bytes.Equal(again, entry) {
				t.Errorf("encoded again: %x, %v\nwant %x", again, err, entry)
			}
		})
	}
	files, err := filepath.Glob(filepath.Join(storedDir, "entry_*.cbor"))
	if err != nil || len(files) != len(commands) {
		t.Errorf("%d entry fixtures, %d commands, %v", len(files), len(commands), err)
	}
	seen := map[CommandKind]bool{}
	for _, c := range commands {
		seen[c.Kind] = true
	}
	for k := CommandKind(1); k < commandKindLimit; k++ {
		if !seen[k] {
			t.Errorf("no entry of kind %d", k)
		}
	}
}

func TestStoredSnapshotReadsBaseFormat(t *testing.T) {
	data := readFixture(t, "snapshot.cbor", func() []byte { return mustSnapshot(t, storedState(t)) })
	got, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	requireState(t, got, storedState(t))
	if again := mustSnapshot(t, got); !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q\nwant %q", again, data)
	}
	hash, err := got.Hash()
	if err != nil {
		t.Fatal(err)
	}
	if want := readFixture(t, "snapshot.hash", func() []byte { return []byte(hash + "\n") }); hash+"\n" != string(want) {
		t.Errorf("hash %s, want %s", hash, want)
	}
}

// Records whose fields are all zero hold the forms of empty fields.
func TestStoredSnapshotOfZeroRecordsReadsBaseFormat(t *testing.T) {
	want := NewState(&searchconfig.Config{})
	if err := want.settings.Validate(); err != nil {
		t.Fatal(err)
	}
	want.servers["s-1"], want.servers["s-2"] = Server{}, Server{Spec: &ServerSpec{}}
	want.sessions["ops"] = clientSession{}
	want.settled = restriction.NewSettledSet([]restriction.Interval{{}})
	want.rejected = []RejectedRestriction{{}}
	data := readFixture(t, "snapshot_zero_records.cbor", func() []byte { return mustSnapshot(t, want) })
	got, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	requireState(t, got, want)
	if again := mustSnapshot(t, got); !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q\nwant %q", again, data)
	}
}

// The records of the log and the state are shown by the admin API and sent between instances as JSON, under names of its own.
func TestStoredRecordsKeepTheirJSONForm(t *testing.T) {
	s := storedState(t)
	full, zero := storedCommands()["every_field"], storedCommands()["zero_values"]
	for name, records := range map[string][]any{
		"records_full.json": {s.servers["s-1"], s.sessions["ops"].Result, s.rejected, full.Spec, full.Restriction, full.WithdrawnIDs, full.ShardMapCommand.Request},
		"records_zero.json": {Server{}, Result{}, RejectedRestriction{}, zero.Spec, zero.Restriction, zero.WithdrawnIDs, zero.ShardMapCommand.Request},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := json.MarshalIndent(records, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, '\n')
			want := readFixture(t, name, func() []byte { return got })
			if !bytes.Equal(got, want) {
				t.Errorf("JSON\n%s\nwant\n%s", got, want)
			}
			var raw []json.RawMessage
			if err := json.Unmarshal(want, &raw); err != nil || len(raw) != len(records) {
				t.Fatal(len(raw), err)
			}
			for i, text := range raw {
				read := reflect.New(reflect.TypeOf(records[i]))
				if err := json.Unmarshal(text, read.Interface()); err != nil || !reflect.DeepEqual(read.Elem().Interface(), records[i]) {
					t.Errorf("%s read as %+v, %v; want %+v", text, read.Elem(), err, records[i])
				}
			}
		})
	}
}

// A state without any content holds the forms of empty maps and lists.
func TestStoredEmptySnapshotReadsBaseFormat(t *testing.T) {
	data := readFixture(t, "snapshot_empty.cbor", func() []byte { return mustSnapshot(t, NewState(&searchconfig.Config{})) })
	got, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Version() != 0 || got.Initialized() || len(got.ServerIDs())+len(got.RemovedIDs())+len(got.sessions)+len(got.RejectedRestrictions())+len(got.memberAddresses)+len(got.Settled().Intervals()) != 0 {
		t.Errorf("state %+v", got)
	}
	if again := mustSnapshot(t, got); !bytes.Equal(again, data) {
		t.Errorf("snapshot again: %q\nwant %q", again, data)
	}
}

// The document that a client sent is in the log as it came; applying it gives the settings that the snapshot then holds.
func TestStoredDocumentEntryAppliesAsBase(t *testing.T) {
	entry := readFixture(t, "entry_document.cbor", nil)
	c, err := Decode(entry)
	if err != nil {
		t.Fatal(err)
	}
	s, r := NewState(&searchconfig.Config{}).Apply(c)
	if r.Reason != Applied {
		t.Fatalf("result %+v", r)
	}
	got := mustSnapshot(t, s)
	if want := readFixture(t, "snapshot_of_document.cbor", func() []byte { return got }); !bytes.Equal(got, want) {
		t.Errorf("snapshot %q\nwant %q", got, want)
	}
}

func TestStoredEntryTruncatedIsFormatError(t *testing.T) {
	for name := range storedCommands() {
		t.Run(name, func(t *testing.T) {
			entry := readFixture(t, "entry_"+name+".cbor", nil)
			for n := range entry {
				if c, err := Decode(entry[:n]); !errors.Is(err, ErrUnknownFormat) {
					t.Errorf("first %d of %d bytes: %+v, %v", n, len(entry), c, err)
				}
			}
			if c, err := Decode(append(entry, 0)); !errors.Is(err, ErrUnknownFormat) {
				t.Errorf("a byte too many: %+v, %v", c, err)
			}
		})
	}
}

func TestStoredSnapshotTruncatedIsError(t *testing.T) {
	for _, name := range []string{"snapshot.cbor", "snapshot_empty.cbor", "snapshot_zero_records.cbor", "snapshot_of_document.cbor"} {
		t.Run(name, func(t *testing.T) {
			data := readFixture(t, name, nil)
			if s, err := Restore(nil); !errors.Is(err, ErrUnknownFormat) || s != nil {
				t.Errorf("no bytes: %v, %v", s, err)
			}
			for n := 1; n < len(data); n++ {
				s, err := Restore(data[:n])
				if s != nil || errors.Is(err, ErrUnknownFormat) || !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
					t.Errorf("first %d of %d bytes: %v, %v", n, len(data), s, err)
				}
			}
			var extra *cbor.ExtraneousDataError
			if s, err := Restore(append(data, 0)); !errors.As(err, &extra) || s != nil {
				t.Errorf("a byte too many: %v, %v", s, err)
			}
		})
	}
}

// fieldsSet notes which fields of each struct type are not zero in a value.
func fieldsSet(v reflect.Value, set map[reflect.Type]map[int]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			fieldsSet(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			fieldsSet(v.Index(i), set)
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			fieldsSet(it.Value(), set)
		}
	case reflect.Struct:
		t := v.Type()
		if !strings.HasPrefix(t.PkgPath(), "linkpass/") {
			return
		}
		if set[t] == nil {
			set[t] = map[int]bool{}
		}
		for i := range v.NumField() {
			if !t.Field(i).IsExported() {
				continue
			}
			if f := v.Field(i); !f.IsZero() {
				set[t][i] = true
				fieldsSet(f, set)
			}
		}
	}
}

// The fixtures are worth as much as the fields that they set: none may be zero in all of them.
func TestStoredFixturesSetEveryField(t *testing.T) {
	set := map[reflect.Type]map[int]bool{}
	for name := range storedCommands() {
		c, err := Decode(readFixture(t, "entry_"+name+".cbor", nil))
		if err != nil {
			t.Fatal(err)
		}
		fieldsSet(reflect.ValueOf(c), set)
	}
	var d snapshotDocument
	if err := decMode.Unmarshal(readFixture(t, "snapshot.cbor", nil)[1:], &d); err != nil {
		t.Fatal(err)
	}
	fieldsSet(reflect.ValueOf(d), set)
	for _, text := range [][]byte{d.Settings, []byte(storedDocument)} {
		var c searchconfig.Config
		if err := json.Unmarshal(text, &c); err != nil {
			t.Fatal(err)
		}
		fieldsSet(reflect.ValueOf(c), set)
	}
	for typ, fields := range set {
		for i := range typ.NumField() {
			if f := typ.Field(i); f.IsExported() && !fields[i] {
				t.Errorf("%s.%s is zero in all fixtures", typ, f.Name)
			}
		}
	}
	for _, v := range []any{Command{}, ServerSpec{}, Result{}, Server{}, RejectedRestriction{}, clientSession{}, snapshotDocument{}, restriction.Origin{}, restriction.ID{}, restriction.Request{}, restriction.Interval{},
		shardmap.Command{}, shardmap.PlanRequest{}, shardmap.Advance{}, shardmap.Abandon{}, shardmap.Document{}, shardmap.Plan{}, shardmap.Shard{},
		searchconfig.Config{}, searchconfig.Defaults{}, searchconfig.Index{}, searchconfig.InitialSharding{}, searchconfig.Server{}} {
		if set[reflect.TypeOf(v)] == nil {
			t.Errorf("%T is in no fixture", v)
		}
	}
}
