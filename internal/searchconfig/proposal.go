package searchconfig

import (
	"fmt"
	"maps"
	"slices"

	"linkpass/internal/shardmap"
)

// ProposePatch is Patch for a patch that is about to be proposed. It also rejects what CheckProposal rejects, and does so
// before it builds the shard maps of a document with too many shards.
func (c *Config) ProposePatch(patch []byte, maxShards int) (*Config, error) {
	next, err := c.patch(patch, func(next *Config) error { return next.checkShardCount(c, maxShards) })
	if err != nil {
		return nil, err
	}
	return next, next.CheckProposal(c, maxShards)
}

// CheckProposal checks a document that is about to be proposed to replace current. It rejects malformed shard maps that
// Patch and ParseUpdate accept, because these decide the outcome of commands that are in the log already, which must be
// the same in all versions of the program. It also rejects a growth to more than maxShards shards in all indices; 0 means
// no limit. Its errors wrap ErrInvalid.
func (c *Config) CheckProposal(current *Config, maxShards int) error {
	if err := c.checkShardCount(current, maxShards); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(c.shardMaps)) {
		replaced, next := current.ShardMap(name), c.shardMaps[name]
		if next == replaced {
			continue
		}
		if err := next.CheckProposal(replaced); err != nil {
			return fmt.Errorf("%w: indices.%s.layout: %w", ErrInvalid, name, err)
		}
	}
	return nil
}

// checkShardCount checks that a document that replaces current has at most maxShards shards in all indices, or no more
// than current; 0 means no limit. It does not need the shard maps.
func (c *Config) checkShardCount(current *Config, maxShards int) error {
	count := c.shardCount()
	if maxShards <= 0 || count <= maxShards || count <= current.shardCount() {
		return nil
	}
	return fmt.Errorf("%w: %d slices in all indices, at most %d fit in this instance's memory", ErrInvalid, count, maxShards)
}

// shardCount returns the number of shards in the shard maps of all indices.
func (c *Config) shardCount() (count int) {
	for _, index := range c.Indices {
		switch {
		case index.ShardMap != nil:
			count += len(index.ShardMap.Shards)
		case index.InitialSharding != nil:
			count += min(max(0, index.InitialSharding.Shards), shardmap.MaxShards+1) // more is invalid anyway
		}
	}
	return count
}
