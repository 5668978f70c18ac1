package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/config/restriction"
	"linkpass/internal/searchconfig"
	_ "linkpass/internal/seeded"
	"linkpass/internal/shardmap"
)

// settings have an index with two sets of holders, a+b and c.
func testSettings(t interface{ Fatal(...any) }) *searchconfig.Config {
	c, err := searchconfig.Parse([]byte(`{"indices":{"players":{"class":"lookup","spread":{"slices":2,"sets":[["a","b"],["c"]]}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// founded is the state after the first document.
func initializedState(t interface{ Fatal(...any) }) *State {
	doc, err := json.Marshal(testSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	s, r := NewState(&searchconfig.Config{}).Apply(Command{Kind: ReplaceSettings, Payload: doc})
	if r.Reason != Applied {
		t.Fatal(r)
	}
	return s
}

var serverIDs = []string{"a", "b", "c", "d", "e"}

// command draws one that may be anything, sound or not, made on a version that may be the right one.
func drawCommand(t *rapid.T, s *State, n int) Command {
	c := Command{Kind: CommandKind(rapid.IntRange(1, int(commandKindLimit)-1).Draw(t, "kind")), Server: rapid.SampledFrom(serverIDs).Draw(t, "server"),
		Weight: rapid.SampledFrom([]float64{-1, 0, 0.5, 2}).Draw(t, "weight")}
	if rapid.Bool().Draw(t, "client") {
		c.ClientID, c.Seq = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), uint64(rapid.IntRange(1, 20).Draw(t, "seq"))
	}
	if now, ok := s.Server(c.Server); ok && rapid.Bool().Draw(t, "if") {
		c.ExpectedVersion = now.Version + uint64(rapid.IntRange(0, 1).Draw(t, "off"))
	}
	switch c.Kind {
	case AddServer, UpdateServer:
		c.Spec = &ServerSpec{Addr: rapid.SampledFrom([]string{"", "h:1", "h:2"}).Draw(t, "addr"), Cell: rapid.IntRange(-1, 1).Draw(t, "cell")}
	case RestrictServer:
		c.Restriction = &restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "instance"), Incarnation: 1}, Seq: uint64(rapid.IntRange(0, n+1).Draw(t, "order"))},
			Server: c.Server, Level: restriction.Level(rapid.IntRange(0, 3).Draw(t, "how")), Force: rapid.Bool().Draw(t, "force")}
	case UndrainServer:
		c.WithdrawnIDs = []restriction.ID{{Origin: restriction.Origin{Instance: "n0", Incarnation: 1}, Seq: uint64(rapid.IntRange(1, n+1).Draw(t, "named"))}}
	case PatchSettings:
		c.ExpectedVersion = rapid.SampledFrom([]uint64{0, s.SettingsVersion(), 7}).Draw(t, "on")
		c.Payload = []byte(rapid.SampledFrom([]string{`{"search":{"max_result_window":5}}`, `{"search":{"max_result_window":-5}}`, `{`}).Draw(t, "patch"))
	case AdvanceShardMap:
		c.Index = rapid.SampledFrom([]string{"players", "nobody"}).Draw(t, "index")
		c.ShardMapCommand = &shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2}}
	}
	return c
}

// Whatever commands come: the old state is untouched; a removed id stays away; no shard that had a holder in service loses
// its last one unless it was forced and said; a command asked again gives its first answer and changes nothing but the
// count; and the history, through its encoding and through a snapshot at any place, gives the same state byte for byte.
func TestApplyKeepsInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := initializedState(t)
		var history [][]byte
		snapAt, snap := rapid.IntRange(0, 40).Draw(t, "snapshot at"), []byte(nil)
		for n := range rapid.IntRange(1, 40).Draw(t, "commands") {
			if n == snapAt {
				snap = encodeState(t, s)
			}
			c := drawCommand(t, s, n)
			entry, err := Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			history = append(history, entry)
			before, removed := encodeState(t, s), s.RemovedIDs()
			next, r := s.Apply(c)
			if !bytes.Equal(encodeState(t, s), before) {
				t.Fatalf("%+v changed the state that it was applied to", c)
			}
			for _, id := range removed {
				if _, back := next.Server(id); back || next.Restriction(id) != restriction.Removed {
					t.Fatalf("%s came back", id)
				}
			}
			checkCoverage(t, s, next, c, r)
			if c.ClientID != "" && r.Reason != StaleSequence {
				again, r2 := next.Apply(c)
				if fmt.Sprint(r2) != fmt.Sprint(r) || again.Version() != next.Version()+1 || !slices.Equal(again.ServerIDs(), next.ServerIDs()) || again.SettingsVersion() != next.SettingsVersion() {
					t.Fatalf("asked again: %+v, then %+v", r, r2)
				}
			}
			s = next
		}
		replayed := initializedState(t)
		if snap != nil {
			var err error
			if replayed, err = Restore(snap); err != nil {
				t.Fatal(err)
			}
			history = history[snapAt:]
		}
		for _, entry := range history {
			c, err := Decode(entry)
			if err != nil {
				t.Fatal(err)
			}
			replayed, _ = replayed.Apply(c)
		}
		if !bytes.Equal(encodeState(t, replayed), encodeState(t, s)) {
			t.Fatal("the history gives another state")
		}
	})
}

func encodeState(t *rapid.T, s *State) []byte {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkCoverage looks at the slices by itself: by holders, not by the code under test.
func checkCoverage(t *rapid.T, before, after *State, c Command, r Result) {
	served := func(s *State, replicas []string) bool {
		return slices.ContainsFunc(replicas, func(id string) bool { return s.Restriction(id) == restriction.None })
	}
	for _, shard := range after.Settings().ShardMap("players").Shards() {
		if served(before, shard.Replicas) && !served(after, shard.Replicas) && (c.Restriction == nil || !c.Restriction.Force || len(r.UncoveredShards) == 0) {
			t.Fatalf("%+v left shard %d bare: %+v", c, shard.ID, r)
		}
	}
}

// An entry that was cut, changed, or is of a later program stops the instance; it is never half applied and never a panic.
func TestDecodeRejectsUnknownAndDamagedEntries(t *testing.T) {
	entry, err := Encode(Command{Kind: SetServerWeight, Server: "a", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	later, _ := encMode.Marshal(map[int]any{1: uint8(commandKindLimit), 5: "a"})
	field, _ := encMode.Marshal(map[int]any{1: uint8(SetServerWeight), 5: "a", 99: "more"})
	for name, data := range map[string][]byte{"format": append([]byte{formatVersion + 1}, entry[1:]...), "kind": append([]byte{formatVersion}, later...),
		"field": append([]byte{formatVersion}, field...), "empty": nil, "after": append(slices.Clone(entry), 0)} {
		if c, err := Decode(data); !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("%s: %+v %v", name, c, err)
		}
	}
	for i := range entry {
		if _, err := Decode(entry[:i]); !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("cut at %d: %v", i, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data := slices.Clone(entry)
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		if c, err := Decode(data); err == nil {
			initializedState(t).Apply(c)
		}
		if _, err := Restore(data); err == nil {
			t.Fatal("an entry was taken for a snapshot")
		}
	})
}

// Instances whose files differ are alike from the first document on, and take nothing before it.
func TestStatesConvergeAfterFirstDocument(t *testing.T) {
	one, other := NewState(testSettings(t)), NewState(&searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: 7}})
	doc, err := json.Marshal(testSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range []Command{{Kind: SetServerWeight, Server: "a", Weight: 2}, {Kind: ReplaceSettings, Payload: doc}, {Kind: SetServerWeight, Server: "a", Weight: 2}} {
		var r, r2 Result
		one, r = one.Apply(c)
		other, r2 = other.Apply(c)
		if r.Reason != r2.Reason || (r.Reason == NotInitialized) != (i == 0) {
			t.Errorf("command %d: %+v, %+v", i, r, r2)
		}
	}
	a, err := one.Hash()
	b, err2 := other.Hash()
	if a != b || err != nil || err2 != nil {
		t.Error("they differ", err, err2)
	}
}

// What is remembered of clients and withdrawals is bounded, and bounded the same way everywhere.
func TestRetainedRecordsAreBounded(t *testing.T) {
	s := initializedState(t)
	for i := range uint64(MaxClients + 50) {
		s, _ = s.Apply(Command{Kind: RestrictServer, ClientID: fmt.Sprint("client", i), Seq: 1,
			Restriction: &restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: "n", Incarnation: 1}, Seq: i + 1}, Server: "c", Level: restriction.Draining}})
	}
	if n := len(s.RejectedRestrictions()); n != MaxRejectedRestrictions || len(s.sessions) != MaxClients || s.Restriction("c") != restriction.None || len(s.Settled().Intervals()) != 1 {
		t.Errorf("%d withdrawn, %d clients, %s", n, len(s.sessions), s.Restriction("c"))
	}
	if _, ok := s.sessions["client0"]; ok {
		t.Error("the oldest client is remembered")
	}
}
