package config

import (
	"errors"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// writeStored creates missing fixtures. An existing fixture is never overwritten, because it represents data that
// earlier versions left on disk. A change of the format gets a new fixture.
var writeStored = flag.Bool("write-stored", false, "write the stored-data fixtures that are missing")

const storedDir = "testdata/stored"

// readFixture returns the contents of a fixture. With -write-stored, a missing fixture is created first.
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

// storedDocument is a settings document as a client sends it: an index with fixed shards, one with an initial sharding
// and one whose shard map is given.
const storedDocument = `{"search":{"default_search_timeout":"750ms",` +
	`"default_allow_partial_results":false,"max_result_window":500},` +
	`"indices":{"fixed":{"class":"c1","slices":[3,4]},` +
	`"spread":{"class":"c2","spread":{"slices":2,"sets":[["s-1"],["s-2"]]}},` +
	`"byhand":{"class":"c3","layout":{"version":2,"slices":[{"id":1048576,` +
	`"range":"0000000000000000-ffffffffffffffff","epoch":2,"holders":["s-3"]}]}}},` +
	`"servers":{"s-1":{"protocol":"search"}}}`

// Parts of the stored commands.
var (
	storedSpec          = &ServerSpec{Addr: "10.0.0.1:9200", Zone: "zone-a", Kind: "large", Cell: 3}
	storedRestrictionID = restriction.ID{Origin: restriction.Origin{Instance: "n1", Incarnation: 4}, Seq: 9}
	storedForcedID      = restriction.ID{Origin: restriction.Origin{Instance: "n2", Incarnation: 5}, Seq: 11}
	storedForced        = &restriction.Request{
		ID:     storedForcedID,
		Server: "s-2",
		Level:  restriction.Removed,
		Force:  true,
	}
	storedPlanRequest = &shardmap.PlanRequest{
		Kind:        shardmap.Split,
		Shards:      []shardmap.ShardID{shardmap.FirstDynamicID, shardmap.FirstDynamicID + 1},
		Pieces:      2,
		ReplicaSets: [][]string{{"s-1", "s-2"}, {"s-3"}},
	}
	storedAdvance = &shardmap.Advance{
		Plan: 6,
		Step: shardmap.Replicated,
		Replicas: map[shardmap.ShardID][]string{
			shardmap.FirstDynamicID + 2: {"s-1"},
			shardmap.FirstDynamicID + 3: {"s-2", "s-3"},
		},
	}
	storedAbandon = &shardmap.Abandon{Plan: 7, Reason: "the target is down"}
)

// storedCommands returns the commands in the entry fixtures, by the name of the fixture.
func storedCommands() map[string]Command {
	commands := map[string]Command{
		"patch": {
			Kind:            PatchSettings,
			ExpectedVersion: 3,
			Payload:         []byte(`{"search.max_result_window":5}`),
		},
		"document":    {Kind: ReplaceSettings, Payload: []byte(storedDocument)},
		"set_peer":    {Kind: SetMemberAddress, Server: "n3", Payload: []byte("10.0.1.3:9300")},
		"drop_peer":   {Kind: RemoveMemberAddress, Server: "n3"},
		"zero_values": storedZeroCommand(),
		"every_field": storedFullCommand(),
	}
	maps.Copy(commands, storedServerCommands())
	maps.Copy(commands, storedShardMapCommands())
	return commands
}

func storedServerCommands() map[string]Command {
	return map[string]Command{
		"add_server": {Kind: AddServer, ClientID: "ops", Seq: 1, Server: "s-1", Spec: storedSpec},
		"change_server": {
			Kind:            UpdateServer,
			ExpectedVersion: 12,
			Server:          "s-1",
			Spec:            &ServerSpec{Addr: "10.0.0.2:9200"},
		},
		"restrict": {
			Kind: RestrictServer,
			Restriction: &restriction.Request{
				ID:     storedRestrictionID,
				Server: "s-1",
				Level:  restriction.Draining,
			},
		},
		"restrict_force": {Kind: RestrictServer, Restriction: storedForced},
		"undrain": {
			Kind:         UndrainServer,
			Server:       "s-1",
			WithdrawnIDs: []restriction.ID{storedRestrictionID, storedForcedID},
		},
		"set_weight": {Kind: SetServerWeight, Server: "s-1", Weight: 0.75},
	}
}

func storedShardMapCommands() map[string]Command {
	commands := map[string]Command{}
	for name, command := range map[string]shardmap.Command{
		"layout_order":   {ExpectedVersion: 8, Request: storedPlanRequest},
		"layout_advance": {Advance: storedAdvance},
		"layout_abandon": {Abandon: storedAbandon},
	} {
		commands[name] = Command{Kind: AdvanceShardMap, Index: "players", ShardMapCommand: &command}
	}
	return commands
}

// storedZeroCommand returns a command with every optional record, each of them with zero fields.
func storedZeroCommand() Command {
	return Command{
		Kind:         AdvanceShardMap,
		Spec:         &ServerSpec{},
		Restriction:  &restriction.Request{},
		WithdrawnIDs: []restriction.ID{{}},
		ShardMapCommand: &shardmap.Command{
			Request: &shardmap.PlanRequest{},
			Advance: &shardmap.Advance{},
			Abandon: &shardmap.Abandon{},
		},
	}
}

// storedFullCommand returns a command with every field set.
func storedFullCommand() Command {
	return Command{
		Kind:            AdvanceShardMap,
		ClientID:        "ops",
		Seq:             2,
		ExpectedVersion: 5,
		Server:          "s-1",
		Spec:            storedSpec,
		Weight:          1.5,
		Restriction:     storedForced,
		WithdrawnIDs:    []restriction.ID{storedRestrictionID},
		Payload:         []byte("text"),
		Index:           "players",
		ShardMapCommand: &shardmap.Command{
			ExpectedVersion: 9,
			Request:         storedPlanRequest,
			Advance:         storedAdvance,
			Abandon:         storedAbandon,
		},
	}
}
