package shardmap

import (
	"cmp"
	"slices"
)

// Change is the difference between two versions of a collection's shard map, for callers that track which
// shards have replicas with data.
type Change struct {
	Collection string
	Map        *Map // the newer version; nil if the collection was removed
	// Added has the shards that became resolvable (see Map.Resolve), Removed those that no longer are, both
	// sorted by id. A shard whose replicas changed is in Added.
	Added, Removed []Shard
}

// Diff compares two versions of a collection's shard map. Either may be nil: the collection has no shard map. It
// reports false if both are the same version.
//
// A shard never changes while it is resolvable, except that the switch of its plan may reduce its replicas. Such
// a shard counts as added.
func Diff(collection string, old, current *Map) (Change, bool) {
	if old == current {
		return Change{}, false
	}
	change := Change{Collection: collection, Map: current}
	before, after := old.resolvable(), current.resolvable()
	for id, s := range after {
		if earlier, ok := before[id]; !ok || !slices.Equal(earlier.Replicas, s.Replicas) {
			change.Added = append(change.Added, s)
		}
	}
	for id, s := range before {
		if _, ok := after[id]; !ok {
			change.Removed = append(change.Removed, s)
		}
	}
	slices.SortFunc(change.Added, compareByID)
	slices.SortFunc(change.Removed, compareByID)
	return change, true
}

func compareByID(a, b Shard) int { return cmp.Compare(a.ID, b.ID) }

// resolvable returns the shards that Resolve finds, by id. The receiver may be nil.
func (m *Map) resolvable() map[ShardID]Shard {
	out := map[ShardID]Shard{}
	if m == nil {
		return out
	}
	for _, s := range m.Shards() {
		out[s.ID] = s
	}
	for _, p := range m.plans {
		if p.Step != Switched {
			continue
		}
		for _, s := range p.From {
			out[s.ID] = s
		}
	}
	return out
}
