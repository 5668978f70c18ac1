package shardmap

import (
	"fmt"
	"slices"
)

// ShardID identifies a shard. It is never reused, and the key range of a shard never changes.
type ShardID uint64

// FirstDynamicID is the lowest id of a shard in a shard map. Lower ids belong to indices with fixed shards, where
// the id of a shard is its number.
const FirstDynamicID ShardID = 1 << 20

// Shard is a range of keys and the servers that hold a replica of it.
type Shard struct {
	ID       ShardID  `json:"id" toml:"id"`
	Range    Range    `json:"range" toml:"range"`
	Epoch    uint64   `json:"epoch" toml:"epoch"`     // the version at which it began to serve; 0 before that
	Replicas []string `json:"holders" toml:"holders"` // names of the servers
}

func (s Shard) equal(other Shard) bool {
	return s.ID == other.ID && s.Range == other.Range && s.Epoch == other.Epoch &&
		slices.Equal(s.Replicas, other.Replicas)
}

// validateReplicas checks that the shard has 1 to MaxReplicas replicas, each on a different server.
func (s Shard) validateReplicas() error {
	if len(s.Replicas) == 0 {
		return fmt.Errorf("%w: slice %d, %s", ErrNoReplica, s.ID, s.Range)
	}
	distinct := slices.Compact(slices.Sorted(slices.Values(s.Replicas)))
	if len(s.Replicas) > MaxReplicas || len(distinct) < len(s.Replicas) || distinct[0] == "" {
		return fmt.Errorf("%w: slice %d has holders %.200q: one twice, one without a name, or more than %d",
			ErrInvalidRequest, s.ID, s.Replicas, MaxReplicas)
	}
	return nil
}
