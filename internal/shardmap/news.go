package shardmap

import "slices"

// Change is what changed in the layout of one collection of records.
type Change struct {
	Collection     string
	Map            *Map    // nil: the collection has gone
	Added, Removed []Shard // held since, and held no more
}

// Diff finds what changed between two versions of a collection; either may be nil.
// Held slices of an id are the same for good, but for the holders that it was narrowed
// to at its switch: one that changed has come anew.
func Diff(name string, old, now *Map) (n Change, changed bool) {
	if old == now {
		return n, false
	}
	n = Change{Collection: name, Map: now}
	before, after := old.held(), now.held()
	for id, s := range after {
		if was, ok := before[id]; !ok || !slices.Equal(was.Replicas, s.Replicas) {
			n.Added = append(n.Added, s)
		}
	}
	for id, s := range before {
		if _, ok := after[id]; !ok {
			n.Removed = append(n.Removed, s)
		}
	}
	byID := func(a, b Shard) int { return int(int64(a.ID) - int64(b.ID)) }
	slices.SortFunc(n.Added, byID)
	slices.SortFunc(n.Removed, byID)
	return n, true
}

// held lists what Held finds.
func (l *Map) held() map[ShardID]Shard {
	out := map[ShardID]Shard{}
	if l == nil {
		return out
	}
	for _, s := range l.Shards() {
		out[s.ID] = s
	}
	for _, p := range l.plans {
		if p.Step == Switched {
			for _, s := range p.From {
				out[s.ID] = s
			}
		}
	}
	return out
}
