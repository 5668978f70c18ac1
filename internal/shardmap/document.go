package shardmap

import (
	"cmp"
	"fmt"
	"slices"
)

// Document is the serialized form of a shard map.
//
// A first version written by hand may leave out Version and NextPlan (each defaults to 1), NextShard (defaults to
// the first id above those of Shards) and, if NextShard is left out, the shards' epochs (default to 1).
type Document struct {
	Version   uint64  `json:"version" toml:"version"`
	NextShard ShardID `json:"next_slice,omitempty" toml:"next_slice"`
	NextPlan  PlanID  `json:"next_plan,omitempty" toml:"next_plan"`
	Shards    []Shard `json:"slices,omitempty" toml:"slices"`
	Plans     []Plan  `json:"plans,omitempty" toml:"plans"`
	History   []Plan  `json:"past,omitempty" toml:"past"`
}

// NewEven returns a first version with n shards of equal size but for rounding, to which the replica sets are
// assigned round-robin. It fails with ErrInvalidRequest if n is not in 1 to MaxShards or sets is empty.
func NewEven(n int, sets [][]string) (*Map, error) {
	if n < 1 || n > MaxShards || len(sets) == 0 {
		return nil, fmt.Errorf("%w: %d slices over %d sets", ErrInvalidRequest, n, len(sets))
	}
	d := Document{Version: 1}
	for i, r := range FullRange.Split(n) {
		id := FirstDynamicID + ShardID(i)
		d.Shards = append(d.Shards, Shard{ID: id, Range: r, Epoch: 1, Replicas: sets[i%len(sets)]})
	}
	return d.Map(nil)
}

// Document returns the serialized form of the version. It shares memory with the map and must not be modified.
func (m *Map) Document() Document {
	return Document{
		Version:   m.version,
		NextShard: m.nextShardID,
		NextPlan:  m.nextPlanID,
		Shards:    m.Shards(),
		Plans:     m.plans,
		History:   m.history,
	}
}

// Map builds and validates the shard map of a document. Shards that are the same in an earlier version share
// memory with it; earlier may be nil.
func (d Document) Map(earlier *Map) (*Map, error) {
	if len(d.Shards) > MaxShards || len(d.Plans) > MaxOpenPlans || len(d.History) > MaxPlanHistory {
		return nil, fmt.Errorf("%w: %d slices, %d plans", ErrLimitExceeded, len(d.Shards), len(d.Plans))
	}
	out := d.build(earlier)
	if out.serving.Len() != len(d.Shards) || out.firstByID.Len() != len(d.Shards) {
		return nil, fmt.Errorf("%w: two slices share an id or a first key", ErrDuplicateID)
	}
	if err := out.Validate(); err != nil {
		return nil, err
	}
	return out, nil
}

// StoredMap builds the shard map of a document that was written from a map in force, without validating it: earlier
// versions of the program may have carried out a malformed plan, and the map in force must be readable all the same.
func (d Document) StoredMap() *Map { return d.build(nil) }

// build builds the shard map of a document. Shards that are the same in an earlier version share memory with it.
func (d Document) build(earlier *Map) *Map {
	out := d.copyRetained(earlier)
	out.version = max(1, d.Version)
	out.nextShardID = max(FirstDynamicID, d.NextShard)
	out.nextPlanID = max(1, d.NextPlan)
	out.plans = slices.Clone(d.Plans)
	out.history = slices.Clone(d.History)
	slices.SortFunc(out.plans, func(a, b Plan) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range d.Shards {
		if d.NextShard == 0 { // a first version written by hand, which has no counters and may omit epochs
			out.nextShardID = max(out.nextShardID, s.ID+1)
			s.Epoch = max(1, s.Epoch)
		}
		if old, ok := out.Shard(s.ID); !ok || !old.equal(s) {
			out.insert(s)
		}
	}
	return out
}

// copyRetained returns a copy of an earlier version without the shards that are not in the document, or an empty map
// if earlier is nil.
func (d Document) copyRetained(earlier *Map) *Map {
	if earlier == nil {
		return &Map{}
	}
	out := earlier.next()
	inDocument := make(map[ShardID]bool, len(d.Shards))
	for _, s := range d.Shards {
		inDocument[s.ID] = true
	}
	for _, s := range earlier.Shards() {
		if !inDocument[s.ID] {
			out.remove(s)
		}
	}
	return out
}
