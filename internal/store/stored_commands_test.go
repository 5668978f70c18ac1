package store

import (
	"slices"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// storedSettings is the document of settings in the fixtures, as a client sends it.
const storedSettings = `{"search":{"default_search_timeout":"750ms",` +
	`"default_allow_partial_results":false,"max_result_window":500},` +
	`"indices":{"fixed":{"class":"c1","slices":[3,4]},` +
	`"players":{"class":"c2","spread":{"slices":2,"sets":[["s-1","s-2"],["s-3"]]}}},` +
	`"servers":{"s-1":{"protocol":"search"},"s-2":{"protocol":"plain"}}}`

// storedStep is a command in the fixtures' log and the reason in its result.
type storedStep struct {
	command config.Command
	want    config.Reason
}

// storedSpec is the first specification of the fixtures' server s-1.
var storedSpec = &config.ServerSpec{Addr: "10.0.0.1:9200", Zone: "zone-a", Kind: "large", Cell: 3}

// storedRequest returns a restriction request of the fixtures' only voter.
func storedRequest(seq uint64, server string, level restriction.Level, force bool) *restriction.Request {
	return &restriction.Request{
		ID: restriction.ID{
			Origin: restriction.Origin{Instance: storedVoterID, Incarnation: 1},
			Seq:    seq,
		},
		Server: server,
		Level:  level,
		Force:  force,
	}
}

// restrict returns the command for a restriction.
func restrict(seq uint64, server string, level restriction.Level, force bool) config.Command {
	return config.Command{
		Kind:        config.RestrictServer,
		Restriction: storedRequest(seq, server, level, force),
	}
}

// serverSteps returns commands that add and change servers.
func serverSteps() []storedStep {
	return []storedStep{
		{config.Command{Kind: config.ReplaceSettings, Payload: []byte(storedSettings)}, config.Applied},
		{
			config.Command{Kind: config.AddServer, ClientID: "ops", Seq: 1, Server: "s-1", Spec: storedSpec},
			config.Applied,
		},
		{
			config.Command{
				Kind:     config.AddServer,
				ClientID: "ops",
				Seq:      2,
				Server:   "s-9",
				Spec:     &config.ServerSpec{Addr: "10.0.0.9:9200", Cell: 1},
			},
			config.Applied,
		},
		{
			config.Command{
				Kind:            config.UpdateServer,
				ClientID:        "robot",
				Seq:             7,
				ExpectedVersion: 2,
				Server:          "s-1",
				Spec:            &config.ServerSpec{Addr: "10.0.0.2:9200", Zone: "zone-b", Kind: "small", Cell: 3},
			},
			config.Applied,
		},
		{
			config.Command{Kind: config.AddServer, ClientID: "late", Seq: 4, Server: "s-1", Spec: storedSpec},
			config.ServerExists,
		},
		{config.Command{Kind: config.SetServerWeight, Server: "s-2", Weight: 0.75}, config.Applied},
	}
}

// restrictionSteps returns commands that restrict servers and patch the settings.
func restrictionSteps() []storedStep {
	removal := restrict(3, "s-9", restriction.Removed, true)
	removal.ClientID, removal.Seq = "force", 1
	patch := `{"search.max_result_window":250,"servers":{"s-2":null,"s-3":{"protocol":"search"}}}`
	return []storedStep{
		{restrict(1, "s-2", restriction.Draining, false), config.Applied},
		{restrict(2, "s-3", restriction.Draining, false), config.NoReplicaLeft},
		{removal, config.Applied},
		{restrict(5, "s-1", restriction.Draining, true), config.Applied},
		{
			config.Command{
				Kind:         config.UndrainServer,
				Server:       "s-2",
				WithdrawnIDs: []restriction.ID{storedRequest(7, "", 0, false).ID},
			},
			config.Applied,
		},
		{config.Command{Kind: config.PatchSettings, Payload: []byte(patch)}, config.Applied},
	}
}

// shardMapSteps returns commands that split a shard, abandon the move of another one, and request a merge that is
// rejected.
func shardMapSteps() []storedStep {
	const first = shardmap.FirstDynamicID
	replicas := map[shardmap.ShardID][]string{first + 2: {"s-4"}, first + 3: {"s-5"}}
	commands := []shardmap.Command{
		{
			ExpectedVersion: 1,
			Request: &shardmap.PlanRequest{
				Kind:        shardmap.Split,
				Shards:      []shardmap.ShardID{first},
				Pieces:      2,
				ReplicaSets: [][]string{{"s-4"}, {"s-5"}},
			},
		},
		{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Move,
			Shards:      []shardmap.ShardID{first + 1},
			ReplicaSets: [][]string{{"s-6", "s-7"}},
		}},
		{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Copying}},
		{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Replicated, Replicas: replicas}},
		{Advance: &shardmap.Advance{Plan: 1, Step: shardmap.Switched, Replicas: replicas}},
		{Abandon: &shardmap.Abandon{Plan: 2, Reason: "the target is down"}},
	}
	var steps []storedStep
	for _, c := range commands {
		steps = append(steps, storedStep{advanceShardMap(c), config.Applied})
	}
	merge := shardmap.Command{Request: &shardmap.PlanRequest{
		Kind:        shardmap.Merge,
		Shards:      []shardmap.ShardID{first + 2, first + 3},
		ReplicaSets: [][]string{{"s-4"}},
	}}
	return append(steps, storedStep{advanceShardMap(merge), config.Conflict})
}

// advanceShardMap returns a command on the shard map of the fixtures' index.
func advanceShardMap(c shardmap.Command) config.Command {
	return config.Command{Kind: config.AdvanceShardMap, Index: "players", ShardMapCommand: &c}
}

// memberSteps returns commands that set and remove addresses of members.
func memberSteps() []storedStep {
	set := func(member, address string) config.Command {
		return config.Command{Kind: config.SetMemberAddress, Server: member, Payload: []byte(address)}
	}
	return []storedStep{
		{set("n2", "10.0.1.2:9300"), config.Applied},
		{set("n3", "10.0.1.3:9300"), config.Applied},
		{config.Command{Kind: config.RemoveMemberAddress, Server: "n2"}, config.Applied},
	}
}

// proposeEveryKind replicates commands of every kind; some of them are rejected.
func proposeEveryKind(t *testing.T, s *Store) {
	t.Helper()
	for _, step := range slices.Concat(serverSteps(), restrictionSteps(), shardMapSteps(), memberSteps()) {
		mustPropose(t, s, step.command, step.want)
	}
}

// mustPropose replicates a command and requires the reason in its result.
func mustPropose(t *testing.T, s *Store, c config.Command, want config.Reason) {
	t.Helper()
	if r, err := s.Propose(t.Context(), c); err != nil || r.Reason != want {
		t.Fatalf("command %+v: result = %+v, error = %v; want reason %s", c, r, err, want)
	}
}

// setWeight replicates the weight of a server.
func setWeight(t *testing.T, s *Store, server string, weight float64) {
	t.Helper()
	mustPropose(t, s, config.Command{Kind: config.SetServerWeight, Server: server, Weight: weight}, config.Applied)
}
