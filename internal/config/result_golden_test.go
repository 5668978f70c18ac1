package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// goldenState returns a state with two added servers, a removed server, a settled request and a member address.
func goldenState(t *testing.T) *State {
	t.Helper()
	s := initializedState(t)
	for _, c := range []Command{
		{Kind: AddServer, Server: "d", Spec: &ServerSpec{Addr: "h:1", Cell: 1}},
		{Kind: AddServer, Server: "e", Spec: &ServerSpec{Addr: "h:2", Cell: 1}},
		{Kind: RestrictServer, Restriction: goldenRequest(1, "gone", restriction.Removed)},
		{Kind: SetMemberAddress, Server: "n0", Payload: []byte("h:3")},
	} {
		var r Result
		if s, r = s.Apply(c); r.Reason != Applied {
			t.Fatalf("kind %d: result = %+v, want Applied", c.Kind, r)
		}
	}
	return s
}

func goldenRequest(seq uint64, server string, level restriction.Level) *restriction.Request {
	id := restriction.ID{Origin: restriction.Origin{Instance: "n0", Incarnation: 1}, Seq: seq}
	return &restriction.Request{ID: id, Server: server, Level: level}
}

// resultCase is a command that a state rejects, with the expected result.
type resultCase struct {
	name            string
	state           *State
	command         Command
	reason          Reason
	detail          string
	uncoveredShards []string
}

// goldenSpec is a valid specification of a server.
var goldenSpec = &ServerSpec{Addr: "h:9"}

// goldenLongName is one byte longer than a name may be.
var goldenLongName = strings.Repeat("x", MaxNameBytes+1)

// stateWithMaxServers returns a copy of a state with MaxServers servers.
func stateWithMaxServers(s *State) *State {
	full := *s
	full.servers = map[string]Server{}
	for i := range MaxServers {
		full.servers[fmt.Sprint(i)] = Server{}
	}
	return &full
}

// stateWithMaxRemovedIDs returns a copy of a state with MaxRemovedIDs removed ids.
func stateWithMaxRemovedIDs(s *State) *State {
	full := *s
	full.removed = map[string]bool{}
	for i := range MaxRemovedIDs {
		full.removed[fmt.Sprint(i)] = true
	}
	return &full
}

// stateWithMaxMemberAddresses returns a copy of a state with MaxMemberAddresses member addresses.
func stateWithMaxMemberAddresses(s *State) *State {
	full := *s
	full.memberAddresses = map[string]string{}
	for i := range MaxMemberAddresses {
		full.memberAddresses[fmt.Sprint(i)] = "h:1"
	}
	return &full
}

// restrictServer returns a RestrictServer command whose request has the origin of the golden state.
func restrictServer(seq uint64, server string, level restriction.Level) Command {
	return Command{Kind: RestrictServer, Restriction: goldenRequest(seq, server, level)}
}

// rejectedServerCommands returns rejected commands that concern servers, and commands with an invalid name or kind.
func rejectedServerCommands(t *testing.T, s *State) []resultCase {
	t.Helper()
	uninitialized := NewState(testSettings(t))
	fullServers := stateWithMaxServers(s)
	return []resultCase{
		{"long server name", s, Command{Kind: AddServer, Server: goldenLongName},
			Invalid, "a name has 128 bytes at most", nil},
		{"long client name", s, Command{Kind: AddServer, ClientID: goldenLongName},
			Invalid, "a name has 128 bytes at most", nil},
		{"before the first document", uninitialized, Command{Kind: SetServerWeight, Server: "a"},
			NotInitialized, "command 5", nil},
		{"unknown kind", s, Command{Kind: 200}, Invalid, "command 200", nil},
		{"no server", s, Command{Kind: SetServerWeight}, Invalid, "no server is named", nil},
		{"removed server", s, Command{Kind: AddServer, Server: "gone", Spec: goldenSpec},
			ServerIDRetired, "gone", nil},
		{"another version", s, Command{Kind: SetServerWeight, Server: "d", ExpectedVersion: 9},
			Conflict, "d is at version 2, the command was made on 9", nil},
		{"version of an unknown server", s, Command{Kind: SetServerWeight, Server: "z", ExpectedVersion: 9},
			Conflict, "z is at version 0, the command was made on 9", nil},
		{"too many servers", fullServers, Command{Kind: AddServer, Server: "d", Spec: goldenSpec},
			LimitExceeded, "10000 servers", nil},
		{"no specification", s, Command{Kind: AddServer, Server: "z"},
			Invalid, "z needs an address and a cell", nil},
		{"server exists", s, Command{Kind: AddServer, Server: "d", Spec: goldenSpec},
			ServerExists, "d", nil},
		{"server not found", s, Command{Kind: UpdateServer, Server: "a", Spec: goldenSpec},
			ServerNotFound, "a", nil},
		{"negative weight", s, Command{Kind: SetServerWeight, Server: "a", Weight: -1},
			Invalid, "weight -1", nil},
	}
}

// rejectedRestrictionCommands returns rejected commands that restrict or undrain servers.
func rejectedRestrictionCommands(t *testing.T, s *State) []resultCase {
	t.Helper()
	fullServers, fullRemoved := stateWithMaxServers(s), stateWithMaxRemovedIDs(s)
	drained, r := s.Apply(restrictServer(2, "a", restriction.Draining))
	if r.Reason != Applied {
		t.Fatalf("drain of a: result = %+v, want Applied", r)
	}
	tooManyIDs := make([]restriction.ID, restriction.MaxPending+1)
	return []resultCase{
		{"no restriction", s, Command{Kind: RestrictServer},
			Invalid, "an order needs an id, a server and a kind", nil},
		{"restriction settled", s, restrictServer(1, "a", restriction.Draining),
			AlreadySettled, "n0.1.1", nil},
		{"restriction of a removed server", s, restrictServer(3, "gone", restriction.Draining),
			ServerIDRetired, "gone", nil},
		{"restriction of too many servers", fullServers, restrictServer(3, "z", restriction.Draining),
			LimitExceeded, "10000 servers, 1 removed ids", nil},
		{"too many removed ids", fullRemoved, restrictServer(3, "d", restriction.Removed),
			LimitExceeded, "2 servers, 100000 removed ids", nil},
		{"last replica of a shard", s, restrictServer(3, "c", restriction.Draining),
			NoReplicaLeft, "1 slices, players/1048577 among them", []string{"players/1048577"}},
		{"last replica after a drain", drained, restrictServer(3, "b", restriction.Removed),
			NoReplicaLeft, "1 slices, players/1048576 among them", []string{"players/1048576"}},
		{"undrain with too many ids", s, Command{Kind: UndrainServer, Server: "a", WithdrawnIDs: tooManyIDs},
			Invalid, "1025 orders are named, 1024 at most", nil},
	}
}

// rejectedSettingsCommands returns rejected commands that concern member addresses, settings and shard maps.
func rejectedSettingsCommands(s *State) []resultCase {
	split := &shardmap.Command{Request: &shardmap.PlanRequest{
		Kind:   shardmap.Split,
		Shards: []shardmap.ShardID{7},
		Pieces: 2,
	}}
	fullMembers := stateWithMaxMemberAddresses(s)
	negativeWindow := []byte(`{"search":{"max_result_window":-5}}`)
	return []resultCase{
		{"member without an address", s, Command{Kind: SetMemberAddress, Server: "n1"},
			Invalid, "an instance needs an id and an address", nil},
		{"too many members", fullMembers, Command{Kind: SetMemberAddress, Server: "n1", Payload: []byte("h:4")},
			LimitExceeded, "32 instances", nil},
		{"settings of another version", s,
			Command{Kind: PatchSettings, ExpectedVersion: 7, Payload: []byte("{}")},
			Conflict, "the settings are at version 1, the command was made on 7", nil},
		{"truncated patch", s, Command{Kind: PatchSettings, Payload: []byte("{")},
			Invalid, "invalid settings: unexpected EOF", nil},
		{"patch that does not validate", s, Command{Kind: PatchSettings, Payload: negativeWindow},
			Invalid, "invalid settings: search.max_result_window is below 0", nil},
		{"unknown index", s, Command{Kind: AdvanceShardMap, Index: "nobody", ShardMapCommand: split},
			Invalid, `index "nobody" has no layout, or no step is given`, nil},
		{"unknown shard", s, Command{Kind: AdvanceShardMap, Index: "players", ShardMapCommand: split},
			Conflict, "no such slice or plan: slice 7 does not serve at version 1", nil},
	}
}

// The replicated state keeps the detail of a rejected command in a client session, so the state's hash depends on it.
// Instances of two versions in one store must produce the same text; otherwise their states diverge.
func TestResultDetailGolden(t *testing.T) {
	s := goldenState(t)
	cases := slices.Concat(
		rejectedServerCommands(t, s),
		rejectedRestrictionCommands(t, s),
		rejectedSettingsCommands(s),
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want := Result{
				Reason:          c.reason,
				Detail:          c.detail,
				Version:         c.state.Version() + 1,
				UncoveredShards: c.uncoveredShards,
			}
			if _, got := c.state.Apply(c.command); fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
				t.Errorf("result\n%+v\nwant\n%+v", got, want)
			}
		})
	}
}

// The reason that is recorded for a withdrawn request is replicated too, so it must not change either.
func TestWithdrawnReasonGolden(t *testing.T) {
	request := goldenRequest(3, "a", restriction.Draining)
	s, r := goldenState(t).Apply(Command{
		Kind:         UndrainServer,
		Server:       "a",
		WithdrawnIDs: []restriction.ID{request.ID},
	})
	if r.Reason != Applied {
		t.Fatalf("undrain: result = %+v, want Applied", r)
	}
	want := RejectedRestriction{Request: *request, Reason: "undrained", Version: s.Version()}
	if got := s.RejectedRestrictions(); len(got) != 1 || got[0] != want {
		t.Errorf("rejected restrictions = %+v, want only %+v", got, want)
	}
}
