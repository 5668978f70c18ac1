package opensearch

import (
	"fmt"
	"slices"

	"linkpass/internal/shardmap"
)

// rerouteCommand is the body of one command of /_cluster/reroute. The name of the command determines which fields
// it needs.
type rerouteCommand struct {
	Index       string     `json:"index"`
	Shard       uint64     `json:"shard"`
	Shards      []uint64   `json:"shards"`
	FromNode    string     `json:"from_node"`
	ToNode      string     `json:"to_node"`
	ReplicaSets [][]string `json:"to_nodes"`
	Pieces      int        `json:"into"` // of a split; a value below 2 counts as 2
	PlanID      uint64     `json:"plan"`
}

// shardMapCommand translates a reroute command with the given name into a command to the shard map m. Its error
// wraps shardmap.ErrInvalidRequest or shardmap.ErrNotFound.
func (r rerouteCommand) shardMapCommand(name string, m *shardmap.Map) (shardmap.Command, error) {
	switch name {
	case "move":
		return r.moveCommand(m)
	case "split":
		return shardmap.Command{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Split,
			Shards:      []shardmap.ShardID{shardmap.ShardID(r.Shard)},
			Pieces:      max(2, r.Pieces),
			ReplicaSets: r.ReplicaSets,
		}}, nil
	case "merge":
		shards := make([]shardmap.ShardID, 0, len(r.Shards))
		for _, s := range r.Shards {
			shards = append(shards, shardmap.ShardID(s))
		}
		return shardmap.Command{Request: &shardmap.PlanRequest{
			Kind:        shardmap.Merge,
			Shards:      shards,
			ReplicaSets: r.ReplicaSets,
		}}, nil
	case "abandon":
		return shardmap.Command{Abandon: &shardmap.Abandon{Plan: shardmap.PlanID(r.PlanID), Reason: "ordered"}}, nil
	case "resume":
		return resumeCommand(m, shardmap.PlanID(r.PlanID))
	}
	return shardmap.Command{}, fmt.Errorf("%w: command %.40q; known are move, split, merge, abandon, resume",
		shardmap.ErrInvalidRequest, name)
}

// moveCommand returns a command that replaces all replicas of a shard or, if the request has no ReplicaSets, only
// the replica on FromNode by one on ToNode.
func (r rerouteCommand) moveCommand(m *shardmap.Map) (shardmap.Command, error) {
	id, sets := shardmap.ShardID(r.Shard), r.ReplicaSets
	if len(sets) == 0 {
		s, ok := m.Shard(id)
		if !ok {
			return shardmap.Command{}, fmt.Errorf("%w: slice %d", shardmap.ErrNotFound, r.Shard)
		}
		i := slices.Index(s.Replicas, r.FromNode)
		if i < 0 || r.ToNode == "" {
			return shardmap.Command{}, fmt.Errorf("%w: slice %d is not on node %.80q, or to_node is missing",
				shardmap.ErrInvalidRequest, r.Shard, r.FromNode)
		}
		replicas := slices.Clone(s.Replicas)
		replicas[i] = r.ToNode
		sets = [][]string{replicas}
	}
	return shardmap.Command{Request: &shardmap.PlanRequest{
		Kind:        shardmap.Move,
		Shards:      []shardmap.ShardID{id},
		ReplicaSets: sets,
	}}, nil
}

// resumeCommand returns a command that requests again what an abandoned plan was to do.
func resumeCommand(m *shardmap.Map, id shardmap.PlanID) (shardmap.Command, error) {
	p, ok := m.Plan(id)
	if !ok || p.Step != shardmap.Abandoned {
		return shardmap.Command{}, fmt.Errorf("%w: plan %d was not abandoned, or is no longer recorded",
			shardmap.ErrNotFound, id)
	}
	request := shardmap.PlanRequest{Kind: p.Kind, Pieces: len(p.To)}
	for _, s := range p.From {
		request.Shards = append(request.Shards, s.ID)
	}
	for _, s := range p.To {
		request.ReplicaSets = append(request.ReplicaSets, s.Replicas)
	}
	return shardmap.Command{Request: &request}, nil
}
