package searchconfig

import (
	"fmt"
	"maps"
	"slices"

	"linkpass/internal/shardmap"
)

// ShardMap is the shard map of an index; nil if the index has none, as its shards are fixed.
func (c *Config) ShardMap(index string) *shardmap.Map { return c.shardMaps[index] }

// WithShardMap returns a copy of the document with another shard map for an index.
func (c *Config) WithShardMap(index string, m *shardmap.Map) *Config {
	out := *c
	out.Indices = maps.Clone(c.Indices)
	out.shardMaps = maps.Clone(c.shardMaps)
	doc := m.Document()
	updated := out.Indices[index]
	updated.ShardMap = &doc
	out.Indices[index] = updated
	out.shardMaps[index] = m
	return &out
}

// ShardMapChanges lists what changed in the shard maps since an earlier document, by
// index name. With a nil earlier document everything is a change.
func (c *Config) ShardMapChanges(earlier *Config) (changes []shardmap.Change) {
	var earlierMaps map[string]*shardmap.Map
	if earlier != nil {
		earlierMaps = earlier.shardMaps
	}
	names := slices.Collect(maps.Keys(c.shardMaps))
	for name := range earlierMaps {
		if c.shardMaps[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if change, changed := shardmap.Diff(name, earlierMaps[name], c.shardMaps[name]); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// ValidateTransition checks that the document may follow an earlier one: the version of
// a shard map never decreases.
func (c *Config) ValidateTransition(earlier *Config) error {
	for name, before := range earlier.shardMaps {
		now := c.shardMaps[name]
		if now != nil && now.Version() < before.Version() {
			return fmt.Errorf("%w: indices.%s.layout: version %d after %d",
				ErrInvalid, name, now.Version(), before.Version())
		}
	}
	return nil
}

// loadShardMaps builds the shard maps of all indices. Memory of what did not change
// since an earlier document is shared with it.
func (c *Config) loadShardMaps(earlier *Config) error {
	c.shardMaps = map[string]*shardmap.Map{}
	for _, name := range slices.Sorted(maps.Keys(c.Indices)) {
		index := c.Indices[name]
		if err := index.generateShardMap(name); err != nil {
			return err
		}
		if index.ShardMap == nil {
			continue
		}
		var before *shardmap.Map
		if earlier != nil {
			before = earlier.shardMaps[name]
		}
		m, err := c.loadShardMap(name, index.ShardMap, before)
		if err != nil {
			return err
		}
		c.shardMaps[name] = m
		c.Indices[name] = index
	}
	return nil
}

// generateShardMap replaces InitialSharding by the first version of a shard map.
func (i *Index) generateShardMap(name string) error {
	initial := i.InitialSharding
	i.InitialSharding = nil
	if initial == nil || i.ShardMap != nil {
		return nil
	}
	first, err := shardmap.NewEven(initial.Shards, initial.ReplicaSets)
	if err != nil {
		return fmt.Errorf("%w: indices.%s.spread: %w", ErrInvalid, name, err)
	}
	doc := first.Document()
	i.ShardMap = &doc
	return nil
}

// loadShardMap builds the shard map of one index.
func (c *Config) loadShardMap(name string, doc *shardmap.Document, before *shardmap.Map) (*shardmap.Map, error) {
	// In a replicated document a version is never made twice: the same version is the same map.
	if before != nil && before.Version() == doc.Version && c.Revision > 0 {
		return before, nil
	}
	m, err := doc.Map(before)
	if err != nil {
		return nil, fmt.Errorf("%w: indices.%s.layout: %w", ErrInvalid, name, err)
	}
	return m, nil
}
