package shardmap

import (
	"slices"
	"sync"

	"github.com/tidwall/btree"
)

// Limits of a shard map.
const (
	MaxShards      = 200_000
	MaxReplicas    = 16 // per shard
	MaxOpenPlans   = 64 // at a time
	MaxPlanHistory = 32 // ended plans that are kept, the latest ones
	maxPieces      = 16 // new shards of a split, old shards of a merge
)

// Map is one version of a shard map. It is immutable and safe for concurrent use. A query keeps the version that
// it was planned on. NewEven and Document.Map create a valid one; the zero value is not valid.
type Map struct {
	version     uint64
	nextShardID ShardID
	nextPlanID  PlanID
	plans       []Plan // open, sorted by id
	history     []Plan // ended, oldest first

	copyMu    sync.Mutex                 // guards both trees while next copies them: Copy marks shared nodes in m
	serving   btree.Map[uint64, *Shard]  // serving shards by first key
	firstByID btree.Map[ShardID, uint64] // first keys of the serving shards, by shard id
}

// Version returns the version number. Each change increases it by one.
func (m *Map) Version() uint64 { return m.version }

// Len returns the number of serving shards.
func (m *Map) Len() int { return m.serving.Len() }

// Find returns the shard that serves a key.
func (m *Map) Find(key uint64) (found Shard, ok bool) {
	m.serving.Descend(key, func(_ uint64, s *Shard) bool {
		found, ok = *s, s.Range.Contains(key)
		return false
	})
	return found, ok
}

// Shard returns a serving shard by its id.
func (m *Map) Shard(id ShardID) (Shard, bool) {
	first, ok := m.firstByID.Get(id)
	if !ok {
		return Shard{}, false
	}
	s, _ := m.serving.Get(first)
	return *s, true
}

// ForEach calls f with the serving shards that intersect a range, in key order, until f
// returns false.
func (m *Map) ForEach(r Range, f func(Shard) bool) {
	from := r.First
	if s, ok := m.Find(r.First); ok {
		from = s.Range.First
	}
	m.serving.Ascend(from, func(first uint64, s *Shard) bool { return first <= r.Last && f(*s) })
}

// Shards lists the serving shards in key order.
func (m *Map) Shards() []Shard {
	out := make([]Shard, 0, m.serving.Len())
	m.serving.Scan(func(_ uint64, s *Shard) bool {
		out = append(out, *s)
		return true
	})
	return out
}

// Resolve returns a shard whose replicas still have its data: a serving shard, or an old shard of a plan that has
// switched and is not retired yet. Queries planned before the switch may still request the latter.
func (m *Map) Resolve(id ShardID) (Shard, bool) {
	if s, ok := m.Shard(id); ok {
		return s, true
	}
	for _, p := range m.plans {
		if p.Step != Switched {
			continue
		}
		if i := slices.IndexFunc(p.From, func(s Shard) bool { return s.ID == id }); i >= 0 {
			return p.From[i], true
		}
	}
	return Shard{}, false
}

// next returns a copy with the next version number, which the caller may modify. The trees are copied on write.
func (m *Map) next() *Map {
	m.copyMu.Lock()
	defer m.copyMu.Unlock()
	out := &Map{
		version:     m.version + 1,
		nextShardID: m.nextShardID,
		nextPlanID:  m.nextPlanID,
		plans:       slices.Clone(m.plans),
		history:     m.history,
	}
	out.serving = *m.serving.Copy()
	out.firstByID = *m.firstByID.Copy()
	return out
}

// insert adds a shard to the serving shards.
func (m *Map) insert(s Shard) {
	m.serving.Set(s.Range.First, &s)
	m.firstByID.Set(s.ID, s.Range.First)
}

// remove removes a shard from the serving shards. Another shard may have replaced it at its first key already;
// that shard stays.
func (m *Map) remove(s Shard) {
	if current, ok := m.serving.Get(s.Range.First); ok && current.ID == s.ID {
		m.serving.Delete(s.Range.First)
	}
	m.firstByID.Delete(s.ID)
}
