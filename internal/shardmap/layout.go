package shardmap

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/tidwall/btree"
)

// ShardID names a slice. It is never used again, and what it names never changes.
type ShardID uint64

// FirstDynamicID is the least id of a slice in a layout: below lie the slices of the
// fixed layout, which are shard numbers.
const FirstDynamicID ShardID = 1 << 20

// Bounds on a layout.
const (
	MaxShards      = 200_000
	MaxReplicas    = 16 // of one slice
	MaxOpenPlans   = 64 // open at a time
	MaxPlanHistory = 32 // ended ones that are remembered
	maxPieces      = 16 // of one split or merge
)

// Shard is a range of keys and the servers that hold it.
type Shard struct {
	ID       ShardID  `json:"id" toml:"id"`
	Range    Range    `json:"range" toml:"range"`
	Epoch    uint64   `json:"epoch" toml:"epoch"` // the version at which it began to serve; 0: it does not yet
	Replicas []string `json:"holders" toml:"holders"`
}

// Map is one version. It is never changed once made, may be read from
// anywhere, and lives for as long as a query points to it.
type Map struct {
	version   uint64
	nextSlice ShardID
	nextPlan  PlanID
	plans     []Plan // open, by id
	past      []Plan // ended, oldest first

	copying sync.Mutex                 // a copy marks the trees that it shares
	serving btree.Map[uint64, *Shard]  // by first key
	firsts  btree.Map[ShardID, uint64] // of the serving slices: their first keys
}

// Errors of a layout and of a command on it. Each names the invariant at stake.
var (
	ErrVersionConflict    = errors.New("the layout has another version")
	ErrIncompleteCoverage = errors.New("serving slices must cover the key space exactly once")
	ErrNoReplica          = errors.New("a range would be left without a sound holder")
	ErrPlanOverlap        = errors.New("another plan touches the range")
	ErrNotFound           = errors.New("no such slice or plan")
	ErrInvalidTransition  = errors.New("a plan cannot go there from its step")
	ErrInvalidRequest     = errors.New("the order makes no sense")
	ErrLimitExceeded      = errors.New("the layout has no room for it")
	ErrDuplicateID        = errors.New("an id must not be used twice")
)

// Version is the layout's version; it only grows.
func (l *Map) Version() uint64 { return l.version }

// Len is the number of serving slices.
func (l *Map) Len() int { return l.serving.Len() }

// Find is the slice that serves a key.
func (l *Map) Find(key uint64) (found Shard, ok bool) {
	l.serving.Descend(key, func(_ uint64, s *Shard) bool {
		found, ok = *s, s.Range.Contains(key)
		return false
	})
	return found, ok
}

// Shard is a serving slice by its id.
func (l *Map) Shard(id ShardID) (Shard, bool) {
	first, ok := l.firsts.Get(id)
	if !ok {
		return Shard{}, false
	}
	s, _ := l.serving.Get(first)
	return *s, true
}

// ForEach calls f with the serving slices that touch a range, in order of keys,
// until it returns false.
func (l *Map) ForEach(r Range, f func(Shard) bool) {
	from := r.First
	if s, ok := l.Find(r.First); ok {
		from = s.Range.First
	}
	l.serving.Ascend(from, func(first uint64, s *Shard) bool { return first <= r.Last && f(*s) })
}

// Shards lists the serving slices in order of keys.
func (l *Map) Shards() []Shard {
	out := make([]Shard, 0, l.serving.Len())
	l.serving.Scan(func(_ uint64, s *Shard) bool {
		out = append(out, *s)
		return true
	})
	return out
}

// Resolve tells whether a slice's holders still have its data: it serves, or gave way
// to others in a plan that is not yet retired.
func (l *Map) Resolve(id ShardID) (Shard, bool) {
	if s, ok := l.Shard(id); ok {
		return s, true
	}
	for _, p := range l.plans {
		if p.Step != Switched {
			continue
		}
		if i := slices.IndexFunc(p.From, func(s Shard) bool { return s.ID == id }); i >= 0 {
			return p.From[i], true
		}
	}
	return Shard{}, false
}

// NewEven makes a first version: n slices alike, dealt out to the sets in turn.
func NewEven(n int, sets [][]string) (*Map, error) {
	if n < 1 || n > MaxShards || len(sets) == 0 {
		return nil, fmt.Errorf("%w: %d slices over %d sets", ErrInvalidRequest, n, len(sets))
	}
	d := Document{Version: 1}
	for i, r := range FullRange.Split(n) {
		d.Shards = append(d.Shards, Shard{ID: FirstDynamicID + ShardID(i), Range: r, Epoch: 1, Replicas: sets[i%len(sets)]})
	}
	return d.Map(nil)
}

// share makes a copy to change; what is not changed is the same memory.
func (l *Map) share() *Map {
	l.copying.Lock()
	defer l.copying.Unlock()
	out := &Map{version: l.version + 1, nextSlice: l.nextSlice, nextPlan: l.nextPlan,
		plans: slices.Clone(l.plans), past: l.past}
	out.serving, out.firsts = *l.serving.Copy(), *l.firsts.Copy()
	return out
}

func (l *Map) put(s Shard) {
	l.serving.Set(s.Range.First, &s)
	l.firsts.Set(s.ID, s.Range.First)
}

func (l *Map) drop(s Shard) {
	if old, ok := l.serving.Get(s.Range.First); ok && old.ID == s.ID {
		l.serving.Delete(s.Range.First)
	}
	l.firsts.Delete(s.ID)
}

// Validate looks at every invariant of the version. Commands check what they touch.
func (l *Map) Validate() error {
	if err := l.covers(FullRange); err != nil {
		return err
	}
	ids := map[ShardID]bool{}
	for _, s := range l.Shards() {
		if err := l.sound(s, ids); err != nil {
			return err
		}
	}
	for i, p := range l.plans {
		if p.ID >= l.nextPlan {
			return fmt.Errorf("%w: plan %d", ErrDuplicateID, p.ID)
		}
		for _, other := range l.plans[:i] {
			if other.touches(p.Range()) {
				return fmt.Errorf("%w: plans %d and %d", ErrPlanOverlap, other.ID, p.ID)
			}
		}
		hidden := p.To // the side of the plan that does not serve
		if p.Step == Switched {
			hidden = p.From
		}
		for _, s := range hidden {
			if err := l.sound(s, ids); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *Map) sound(s Shard, ids map[ShardID]bool) error {
	if ids[s.ID] || s.ID < FirstDynamicID || s.ID >= l.nextSlice {
		return fmt.Errorf("%w: slice %d", ErrDuplicateID, s.ID)
	}
	ids[s.ID] = true
	if s.Epoch > l.version {
		return fmt.Errorf("%w: slice %d has epoch %d at version %d", ErrVersionConflict, s.ID, s.Epoch, l.version)
	}
	return checkHolders(s)
}

func checkHolders(s Shard) error {
	if len(s.Replicas) == 0 {
		return fmt.Errorf("%w: slice %d, %s", ErrNoReplica, s.ID, s.Range)
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(s.Replicas)))
	if len(s.Replicas) > MaxReplicas || len(sorted) < len(s.Replicas) || sorted[0] == "" {
		return fmt.Errorf("%w: slice %d has holders %.200q: one twice, one without a name, or more than %d",
			ErrInvalidRequest, s.ID, s.Replicas, MaxReplicas)
	}
	return nil
}

// covers tells whether serving slices cover a range exactly once.
func (l *Map) covers(r Range) error {
	next, end := r.First, false
	var err error
	l.ForEach(r, func(s Shard) bool {
		if !s.Range.Valid() || end || s.Range.First > next || s.Range.First < next && s.Range.First > r.First {
			err = fmt.Errorf("%w: slice %d owns %s, expected from %016x", ErrIncompleteCoverage, s.ID, s.Range, next)
			return false
		}
		end = s.Range.Last >= r.Last
		next = s.Range.Last + 1
		return true
	})
	if err == nil && !end {
		err = fmt.Errorf("%w: nothing from %016x on", ErrIncompleteCoverage, next)
	}
	return err
}

// Document is a layout as it is written down.
type Document struct {
	Version   uint64  `json:"version" toml:"version"`
	NextShard ShardID `json:"next_slice,omitempty" toml:"next_slice"`
	NextPlan  PlanID  `json:"next_plan,omitempty" toml:"next_plan"`
	Shards    []Shard `json:"slices,omitempty" toml:"slices"`
	Plans     []Plan  `json:"plans,omitempty" toml:"plans"`
	History   []Plan  `json:"past,omitempty" toml:"past"`
}

// Document writes the layout down.
func (l *Map) Document() Document {
	return Document{Version: l.version, NextShard: l.nextSlice, NextPlan: l.nextPlan, Shards: l.Shards(),
		Plans: l.plans, History: l.past}
}

// Map reads a document and checks it. Where an earlier version is given, what
// did not change is shared with it.
func (d Document) Map(earlier *Map) (*Map, error) {
	if len(d.Shards) > MaxShards || len(d.Plans) > MaxOpenPlans || len(d.History) > MaxPlanHistory {
		return nil, fmt.Errorf("%w: %d slices, %d plans", ErrLimitExceeded, len(d.Shards), len(d.Plans))
	}
	out := &Map{}
	if earlier != nil {
		out = earlier.share()
		kept := map[ShardID]bool{}
		for _, s := range d.Shards {
			kept[s.ID] = true
		}
		for _, s := range earlier.Shards() {
			if !kept[s.ID] {
				out.drop(s)
			}
		}
	}
	out.version, out.nextSlice, out.nextPlan = max(1, d.Version), max(FirstDynamicID, d.NextShard), max(1, d.NextPlan)
	out.plans, out.past = slices.Clone(d.Plans), slices.Clone(d.History)
	slices.SortFunc(out.plans, func(a, b Plan) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range d.Shards {
		if d.NextShard == 0 { // a hand-written first version
			out.nextSlice = max(out.nextSlice, s.ID+1)
			s.Epoch = max(1, s.Epoch)
		}
		if old, ok := out.Shard(s.ID); !ok || !old.same(s) {
			out.put(s)
		}
	}
	if out.serving.Len() != len(d.Shards) || out.firsts.Len() != len(d.Shards) {
		return nil, fmt.Errorf("%w: two slices share an id or a first key", ErrDuplicateID)
	}
	return out, out.Validate()
}

func (s Shard) same(o Shard) bool {
	return s.ID == o.ID && s.Range == o.Range && s.Epoch == o.Epoch && slices.Equal(s.Replicas, o.Replicas)
}
