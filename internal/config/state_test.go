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
	"linkpass/internal/shardmap"
	_ "linkpass/internal/testrand"
)

// testSettings returns settings with one index of two shards: the first has the replicas a and b, the second has c.
func testSettings(t rapid.TB) *searchconfig.Config {
	t.Helper()
	c, err := searchconfig.Parse([]byte(`{"indices":{"players":{"class":"lookup","spread":{"slices":2,"sets":[["a","b"],["c"]]}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// initializedState returns the state after the first replicated settings document.
func initializedState(t rapid.TB) *State {
	t.Helper()
	doc, err := json.Marshal(testSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	s, r := NewState(&searchconfig.Config{}).Apply(Command{Kind: ReplaceSettings, Payload: doc})
	if r.Reason != Applied {
		t.Fatalf("first document: result = %+v, want Applied", r)
	}
	return s
}

var serverIDs = []string{"a", "b", "c", "d", "e"}

// drawCommand draws a command that may be invalid and may expect a version other than the current one.
func drawCommand(t *rapid.T, s *State, n int) Command {
	c := Command{
		Kind:   CommandKind(rapid.IntRange(1, int(commandKindLimit)-1).Draw(t, "kind")),
		Server: rapid.SampledFrom(serverIDs).Draw(t, "server"),
		Weight: rapid.SampledFrom([]float64{-1, 0, 0.5, 2}).Draw(t, "weight"),
	}
	if rapid.Bool().Draw(t, "client") {
		c.ClientID = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
		c.Seq = uint64(rapid.IntRange(1, 20).Draw(t, "seq"))
	}
	if now, ok := s.Server(c.Server); ok && rapid.Bool().Draw(t, "expects a version") {
		c.ExpectedVersion = now.Version + uint64(rapid.IntRange(0, 1).Draw(t, "off by"))
	}
	switch c.Kind {
	case AddServer, UpdateServer:
		c.Spec = &ServerSpec{
			Addr: rapid.SampledFrom([]string{"", "h:1", "h:2"}).Draw(t, "addr"),
			Cell: rapid.IntRange(-1, 1).Draw(t, "cell"),
		}
	case RestrictServer:
		c.Restriction = drawRestriction(t, c.Server, n)
	case UndrainServer:
		origin := restriction.Origin{Instance: "n0", Incarnation: 1}
		seq := uint64(rapid.IntRange(1, n+1).Draw(t, "withdrawn"))
		c.WithdrawnIDs = []restriction.ID{{Origin: origin, Seq: seq}}
	case PatchSettings:
		c.ExpectedVersion = rapid.SampledFrom([]uint64{0, s.SettingsVersion(), 7}).Draw(t, "settings version")
		c.Payload = []byte(rapid.SampledFrom([]string{
			`{"search":{"max_result_window":5}}`,
			`{"search":{"max_result_window":-5}}`,
			`{`,
		}).Draw(t, "patch"))
	case AdvanceShardMap:
		c.Index = rapid.SampledFrom([]string{"players", "nobody"}).Draw(t, "index")
		c.ShardMapCommand = &shardmap.Command{
			Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{shardmap.FirstDynamicID}, Pieces: 2},
		}
	}
	return c
}

func drawRestriction(t *rapid.T, server string, n int) *restriction.Request {
	origin := restriction.Origin{Instance: rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "instance"), Incarnation: 1}
	return &restriction.Request{
		ID:     restriction.ID{Origin: origin, Seq: uint64(rapid.IntRange(0, n+1).Draw(t, "request"))},
		Server: server,
		Level:  restriction.Level(rapid.IntRange(0, 3).Draw(t, "level")),
		Force:  rapid.Bool().Draw(t, "force"),
	}
}

// For any sequence of commands: Apply does not change the old state. A removed id is never reused. No shard loses its
// last replica in service, unless the command was forced and its result reports the shard. A repeated command returns
// its first result and changes only the version. Replaying the encoded log from any snapshot produces the same state,
// byte for byte.
func TestApplyKeepsInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := initializedState(t)
		var entries [][]byte
		var snapshot []byte
		snapshotAt := rapid.IntRange(0, 40).Draw(t, "snapshot at")
		for n := range rapid.IntRange(1, 40).Draw(t, "commands") {
			if n == snapshotAt {
				snapshot = encodeState(t, s)
			}
			c := drawCommand(t, s, n)
			entry, err := Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			entries = append(entries, entry)
			s = checkedApply(t, s, c)
		}
		replayed := initializedState(t)
		if snapshot != nil {
			var err error
			if replayed, err = Restore(snapshot); err != nil {
				t.Fatal(err)
			}
			entries = entries[snapshotAt:]
		}
		for _, entry := range entries {
			c, err := Decode(entry)
			if err != nil {
				t.Fatal(err)
			}
			replayed, _ = replayed.Apply(c)
		}
		if !bytes.Equal(encodeState(t, replayed), encodeState(t, s)) {
			t.Fatal("the snapshot after replaying the log differs from that of the original state")
		}
	})
}

// checkedApply applies a command, and checks the invariants that must hold after each command.
func checkedApply(t *rapid.T, s *State, c Command) *State {
	t.Helper()
	before := encodeState(t, s)
	next, r := s.Apply(c)
	if !bytes.Equal(encodeState(t, s), before) {
		t.Fatalf("command %+v changed the state that it was applied to", c)
	}
	for _, id := range s.RemovedIDs() {
		if _, known := next.Server(id); known || next.Restriction(id) != restriction.Removed {
			t.Fatalf("removed server %s: configured = %t, restriction = %s, want false and %s",
				id, known, next.Restriction(id), restriction.Removed)
		}
	}
	checkCoverage(t, s, next, c, r)
	if c.ClientID != "" && r.Reason != StaleSequence {
		checkRepeat(t, next, c, r)
	}
	return next
}

// checkRepeat checks that a repeated command returns the first result and changes only the version.
func checkRepeat(t *rapid.T, s *State, c Command, first Result) {
	t.Helper()
	next, r := s.Apply(c)
	if fmt.Sprint(r) != fmt.Sprint(first) ||
		next.Version() != s.Version()+1 ||
		next.SettingsVersion() != s.SettingsVersion() ||
		!slices.Equal(next.ServerIDs(), s.ServerIDs()) {
		t.Fatalf("command %+v: repeated result = %+v, want %+v and no change but the version", c, r, first)
	}
}

func encodeState(t *rapid.T, s *State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkCoverage checks that no shard lost its last replica in service unless the result reports it. It uses the replica
// lists of the shards instead of the code under test.
func checkCoverage(t *rapid.T, before, after *State, c Command, r Result) {
	t.Helper()
	covered := func(s *State, replicas []string) bool {
		return slices.ContainsFunc(replicas, func(id string) bool { return s.Restriction(id) == restriction.None })
	}
	reported := c.Restriction != nil && c.Restriction.Force && len(r.UncoveredShards) > 0
	for _, shard := range after.Settings().ShardMap("players").Shards() {
		if covered(before, shard.Replicas) && !covered(after, shard.Replicas) && !reported {
			t.Fatalf("command %+v left shard %d without a replica in service, result = %+v", c, shard.ID, r)
		}
	}
}

// Decoding an entry that is truncated, damaged or from a later version returns an error. It never panics and never
// returns part of a command.
func TestDecodeRejectsUnknownAndDamagedEntries(t *testing.T) {
	entry, err := Encode(Command{Kind: SetServerWeight, Server: "a", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	laterKind, _ := encMode.Marshal(map[int]any{1: uint8(commandKindLimit), 5: "a"})
	laterField, _ := encMode.Marshal(map[int]any{1: uint8(SetServerWeight), 5: "a", 99: "more"})
	for name, data := range map[string][]byte{
		"format": append([]byte{formatVersion + 1}, entry[1:]...),
		"kind":   append([]byte{formatVersion}, laterKind...),
		"field":  append([]byte{formatVersion}, laterField...),
		"empty":  nil,
		"after":  append(slices.Clone(entry), 0),
	} {
		t.Run(name, func(t *testing.T) {
			if c, err := Decode(data); !errors.Is(err, ErrUnknownFormat) {
				t.Errorf("decoded %+v, error = %v, want ErrUnknownFormat", c, err)
			}
		})
	}
	for i := range entry {
		if _, err := Decode(entry[:i]); !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("truncated to %d of %d bytes: error = %v, want ErrUnknownFormat", i, len(entry), err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data := slices.Clone(entry)
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		if c, err := Decode(data); err == nil {
			initializedState(t).Apply(c)
		}
		if _, err := Restore(data); err == nil {
			t.Fatal("Restore accepted a log entry as a snapshot")
		}
	})
}

// Instances with different settings files reject every command before the first replicated settings document, and have
// equal states after it.
func TestApplyConvergesAfterFirstDocument(t *testing.T) {
	one := NewState(testSettings(t))
	other := NewState(&searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: 7}})
	doc, err := json.Marshal(testSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range []Command{
		{Kind: SetServerWeight, Server: "a", Weight: 2},
		{Kind: ReplaceSettings, Payload: doc},
		{Kind: SetServerWeight, Server: "a", Weight: 2},
	} {
		var r, r2 Result
		one, r = one.Apply(c)
		other, r2 = other.Apply(c)
		if r.Reason != r2.Reason || (r.Reason == NotInitialized) != (i == 0) {
			t.Errorf("command %d: results %+v and %+v, want equal reasons, and NotInitialized only for command 0",
				i, r, r2)
		}
	}
	a, err := one.Hash()
	b, err2 := other.Hash()
	if a != b || err != nil || err2 != nil {
		t.Errorf("hashes %s and %s, want equal ones; errors %v and %v", a, b, err, err2)
	}
}

// The numbers of client sessions and of rejected restrictions are bounded. All instances drop the same records: the
// oldest ones.
func TestApplyBoundsSessionsAndRejections(t *testing.T) {
	s := initializedState(t)
	origin := restriction.Origin{Instance: "n", Incarnation: 1}
	for i := range uint64(MaxClients + 50) {
		s, _ = s.Apply(Command{
			Kind:     RestrictServer,
			ClientID: fmt.Sprint("client", i),
			Seq:      1,
			Restriction: &restriction.Request{
				ID:     restriction.ID{Origin: origin, Seq: i + 1},
				Server: "c",
				Level:  restriction.Draining,
			},
		})
	}
	if n := len(s.RejectedRestrictions()); n != MaxRejectedRestrictions {
		t.Errorf("%d rejected restrictions, want %d", n, MaxRejectedRestrictions)
	}
	if n := len(s.sessions); n != MaxClients {
		t.Errorf("%d sessions, want %d", n, MaxClients)
	}
	if level := s.Restriction("c"); level != restriction.None {
		t.Errorf("c is %s, want %s", level, restriction.None)
	}
	if n := len(s.Settled().Intervals()); n != 1 {
		t.Errorf("%d settled intervals, want 1", n)
	}
	if _, ok := s.sessions["client0"]; ok {
		t.Error("the session of the oldest client was kept")
	}
}
