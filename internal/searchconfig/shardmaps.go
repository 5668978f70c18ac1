package searchconfig

import (
	"fmt"
	"maps"
	"slices"

	"linkpass/internal/shardmap"
)

// ShardMap returns the shard map of an index. It is nil if the index is not configured or
// has fixed shards.
func (c *Config) ShardMap(index string) *shardmap.Map { return c.shardMaps[index] }

// WithShardMap returns a copy of the document in which an index has shard map m.
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

// ShardMapChanges lists the changes of the shard maps since an earlier document, sorted by
// index name. If earlier is nil, every shard map is a change.
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

// ValidateTransition checks that the document may follow an earlier one: the version of a
// shard map must not decrease. It returns ErrInvalid otherwise.
func (c *Config) ValidateTransition(earlier *Config) error {
	for name, before := range earlier.shardMaps {
		after := c.shardMaps[name]
		if after != nil && after.Version() < before.Version() {
			return fmt.Errorf("%w: indices.%s.layout: version %d after %d",
				ErrInvalid, name, after.Version(), before.Version())
		}
	}
	return nil
}

// loadShardMaps builds the shard maps of all indices. Data that did not change since an
// earlier document is shared with it.
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
	// In a replicated document, each change of a shard map gets a new version, so equal
	// versions have equal contents.
	if before != nil && before.Version() == doc.Version && c.Revision > 0 {
		return before, nil
	}
	m, err := doc.Map(before)
	if err != nil {
		return nil, fmt.Errorf("%w: indices.%s.layout: %w", ErrInvalid, name, err)
	}
	return m, nil
}
