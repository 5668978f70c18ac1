package config

import (
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// goldenState has two servers that were added, one that was removed, a settled request and one member's address.
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
			t.Fatal(r)
		}
	}
	return s
}

func goldenRequest(seq uint64, server string, level restriction.Level) *restriction.Request {
	id := restriction.ID{Origin: restriction.Origin{Instance: "n0", Incarnation: 1}, Seq: seq}
	return &restriction.Request{ID: id, Server: server, Level: level}
}

// A rejected command's detail lies in the client sessions of the replicated state, and so in its hash:
// instances of two versions in one store must give the same text.
func TestResultDetailGolden(t *testing.T) {
	s := goldenState(t)
	fullServers, fullRemoved, fullMembers := *s, *s, *s
	fullServers.servers, fullRemoved.removed, fullMembers.memberAddresses = map[string]Server{}, map[string]bool{}, map[string]string{}
	for i := range MaxServers {
		fullServers.servers[fmt.Sprint(i)] = Server{}
	}
	for i := range MaxRemovedIDs {
		fullRemoved.removed[fmt.Sprint(i)] = true
	}
	for i := range MaxMemberAddresses {
		fullMembers.memberAddresses[fmt.Sprint(i)] = "h:1"
	}
	drained, r := s.Apply(Command{Kind: RestrictServer, Restriction: goldenRequest(2, "a", restriction.Draining)})
	if r.Reason != Applied {
		t.Fatal(r)
	}
	split := &shardmap.Command{Request: &shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{7}, Pieces: 2}}
	spec := &ServerSpec{Addr: "h:9"}
	long := strings.Repeat("x", MaxNameBytes+1)
	for _, c := range []struct {
		name    string
		state   *State
		command Command
		want    Result
	}{
		{"long server name", s, Command{Kind: AddServer, Server: long},
			Result{Reason: Invalid, Detail: "a name has 128 bytes at most"}},
		{"long client name", s, Command{Kind: AddServer, ClientID: long},
			Result{Reason: Invalid, Detail: "a name has 128 bytes at most"}},
		{"before the first document", NewState(testSettings(t)), Command{Kind: SetServerWeight, Server: "a"},
			Result{Reason: NotInitialized, Detail: "command 5"}},
		{"unknown kind", s, Command{Kind: 200}, Result{Reason: Invalid, Detail: "command 200"}},
		{"no server", s, Command{Kind: SetServerWeight}, Result{Reason: Invalid, Detail: "no server is named"}},
		{"removed server", s, Command{Kind: AddServer, Server: "gone", Spec: spec},
			Result{Reason: ServerIDRetired, Detail: "gone"}},
		{"another version", s, Command{Kind: SetServerWeight, Server: "d", ExpectedVersion: 9},
			Result{Reason: Conflict, Detail: "d is at version 2, the command was made on 9"}},
		{"version of an unknown server", s, Command{Kind: SetServerWeight, Server: "z", ExpectedVersion: 9},
			Result{Reason: Conflict, Detail: "z is at version 0, the command was made on 9"}},
		{"too many servers", &fullServers, Command{Kind: AddServer, Server: "d", Spec: spec},
			Result{Reason: LimitExceeded, Detail: "10000 servers"}},
		{"no specification", s, Command{Kind: AddServer, Server: "z"},
			Result{Reason: Invalid, Detail: "z needs an address and a cell"}},
		{"server exists", s, Command{Kind: AddServer, Server: "d", Spec: spec},
			Result{Reason: ServerExists, Detail: "d"}},
		{"server not found", s, Command{Kind: UpdateServer, Server: "a", Spec: spec},
			Result{Reason: ServerNotFound, Detail: "a"}},
		{"negative weight", s, Command{Kind: SetServerWeight, Server: "a", Weight: -1},
			Result{Reason: Invalid, Detail: "weight -1"}},
		{"no restriction", s, Command{Kind: RestrictServer},
			Result{Reason: Invalid, Detail: "an order needs an id, a server and a kind"}},
		{"restriction settled", s, Command{Kind: RestrictServer, Restriction: goldenRequest(1, "a", restriction.Draining)},
			Result{Reason: AlreadySettled, Detail: "n0.1.1"}},
		{"restriction of a removed server", s, Command{Kind: RestrictServer, Restriction: goldenRequest(3, "gone", restriction.Draining)},
			Result{Reason: ServerIDRetired, Detail: "gone"}},
		{"restriction of too many servers", &fullServers, Command{Kind: RestrictServer, Restriction: goldenRequest(3, "z", restriction.Draining)},
			Result{Reason: LimitExceeded, Detail: "10000 servers, 1 removed ids"}},
		{"too many removed ids", &fullRemoved, Command{Kind: RestrictServer, Restriction: goldenRequest(3, "d", restriction.Removed)},
			Result{Reason: LimitExceeded, Detail: "2 servers, 100000 removed ids"}},
		{"last replica of a shard", s, Command{Kind: RestrictServer, Restriction: goldenRequest(3, "c", restriction.Draining)},
			Result{Reason: NoReplicaLeft, Detail: "1 slices, players/1048577 among them", UncoveredShards: []string{"players/1048577"}}},
		{"last replica after a drain", drained, Command{Kind: RestrictServer, Restriction: goldenRequest(3, "b", restriction.Removed)},
			Result{Reason: NoReplicaLeft, Detail: "1 slices, players/1048576 among them", UncoveredShards: []string{"players/1048576"}}},
		{"undrain with too many ids", s, Command{Kind: UndrainServer, Server: "a", WithdrawnIDs: make([]restriction.ID, restriction.MaxPending+1)},
			Result{Reason: Invalid, Detail: "1025 orders are named, 1024 at most"}},
		{"member without an address", s, Command{Kind: SetMemberAddress, Server: "n1"},
			Result{Reason: Invalid, Detail: "an instance needs an id and an address"}},
		{"too many members", &fullMembers, Command{Kind: SetMemberAddress, Server: "n1", Payload: []byte("h:4")},
			Result{Reason: LimitExceeded, Detail: "32 instances"}},
		{"settings of another version", s, Command{Kind: PatchSettings, ExpectedVersion: 7, Payload: []byte("{}")},
			Result{Reason: Conflict, Detail: "the settings are at version 1, the command was made on 7"}},
		{"patch cut short", s, Command{Kind: PatchSettings, Payload: []byte("{")},
			Result{Reason: Invalid, Detail: "invalid settings: unexpected EOF"}},
		{"patch that does not validate", s, Command{Kind: PatchSettings, Payload: []byte(`{"search":{"max_result_window":-5}}`)},
			Result{Reason: Invalid, Detail: "invalid settings: search.max_result_window is below 0"}},
		{"unknown index", s, Command{Kind: AdvanceShardMap, Index: "nobody", ShardMapCommand: split},
			Result{Reason: Invalid, Detail: `index "nobody" has no layout, or no step is given`}},
		{"unknown shard", s, Command{Kind: AdvanceShardMap, Index: "players", ShardMapCommand: split},
			Result{Reason: Conflict, Detail: "no such slice or plan: slice 7 does not serve at version 1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.want.Version = c.state.Version() + 1
			if _, got := c.state.Apply(c.command); fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", c.want) {
				t.Errorf("result\n%+v\nwant\n%+v", got, c.want)
			}
		})
	}
}

// The reason of a request that an undrain withdrew is replicated too.
func TestWithdrawnReasonGolden(t *testing.T) {
	request := goldenRequest(3, "a", restriction.Draining)
	s, r := goldenState(t).Apply(Command{Kind: UndrainServer, Server: "a", WithdrawnIDs: []restriction.ID{request.ID}})
	if r.Reason != Applied {
		t.Fatal(r)
	}
	want := RejectedRestriction{Request: *request, Reason: "undrained", Version: s.Version()}
	if got := s.RejectedRestrictions(); len(got) != 1 || got[0] != want {
		t.Errorf("rejected %+v, want %+v", got, want)
	}
}
