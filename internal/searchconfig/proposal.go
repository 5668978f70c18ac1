package searchconfig

import (
	"fmt"
	"maps"
	"slices"
)

// CheckProposal checks a document that is about to be proposed to replace current. It rejects malformed shard maps that
// Patch and ParseUpdate accept, because these decide the outcome of commands that are in the log already, which must be
// the same in all versions of the program. Its errors wrap ErrInvalid.
func (c *Config) CheckProposal(current *Config) error {
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
