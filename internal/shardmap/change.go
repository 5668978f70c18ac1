package shardmap

import (
	"cmp"
	"slices"
)

// Change is the difference between two versions of the shard map of a collection, as
// those need it who follow which shards have replicas with data.
type Change struct {
	Collection string
	Map        *Map // the newer version; nil if the collection was removed
	// Added and Removed are the shards that became resolvable and that are so no more
	// (see Map.Resolve), by id. A shard whose replicas changed is in Added.
	Added, Removed []Shard
}

// Diff compares two versions of a collection's shard map; either may be nil. It reports
// false if they are the same version.
//
// A shard never changes while it is resolvable, except that the switch of its plan
// narrows its replicas; such a shard counts as added.
func Diff(collection string, old, now *Map) (Change, bool) {
	if old == now {
		return Change{}, false
	}
	change := Change{Collection: collection, Map: now}
	before, after := old.resolvable(), now.resolvable()
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

// resolvable lists the shards that Resolve finds. The receiver may be nil.
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
