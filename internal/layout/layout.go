package layout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/tidwall/btree"
)

// SliceID names a slice. It is never used again, and what it names never changes.
type SliceID uint64

// FirstSlice is the least id of a slice in a layout: below lie the slices of the
// fixed layout, which are shard numbers.
const FirstSlice SliceID = 1 << 20

// Bounds on a layout.
const (
	MaxSlices  = 200_000
	MaxHolders = 16 // of one slice
	MaxPlans   = 64 // open at a time
	MaxPast    = 32 // ended ones that are remembered
	maxPieces  = 16 // of one split or merge
)

// Slice is a range of keys and the servers that hold it.
type Slice struct {
	ID      SliceID  `json:"id" toml:"id"`
	Range   Range    `json:"range" toml:"range"`
	Epoch   uint64   `json:"epoch" toml:"epoch"` // the version at which it began to serve; 0: it does not yet
	Holders []string `json:"holders" toml:"holders"`
}

// Layout is one version. It is never changed once made, may be read from
// anywhere, and lives for as long as a query points to it.
type Layout struct {
	version   uint64
	nextSlice SliceID
	nextPlan  PlanID
	plans     []Plan // open, by id
	past      []Plan // ended, oldest first

	copying sync.Mutex                 // a copy marks the trees that it shares
	serving btree.Map[uint64, *Slice]  // by first key
	firsts  btree.Map[SliceID, uint64] // of the serving slices: their first keys
}

// Errors of a layout and of a command on it. Each names the invariant at stake.
var (
	ErrVersion  = errors.New("the layout has another version")
	ErrCover    = errors.New("serving slices must cover the key space exactly once")
	ErrHolder   = errors.New("a range would be left without a sound holder")
	ErrOverlap  = errors.New("another plan touches the range")
	ErrUnknown  = errors.New("no such slice or plan")
	ErrStep     = errors.New("a plan cannot go there from its step")
	ErrOrder    = errors.New("the order makes no sense")
	ErrCapacity = errors.New("the layout has no room for it")
	ErrIdentity = errors.New("an id must not be used twice")
)

// Version is the layout's version; it only grows.
func (l *Layout) Version() uint64 { return l.version }

// Len is the number of serving slices.
func (l *Layout) Len() int { return l.serving.Len() }

// Find is the slice that serves a key.
func (l *Layout) Find(key uint64) (found Slice, ok bool) {
	l.serving.Descend(key, func(_ uint64, s *Slice) bool {
		found, ok = *s, s.Range.Has(key)
		return false
	})
	return found, ok
}

// Slice is a serving slice by its id.
func (l *Layout) Slice(id SliceID) (Slice, bool) {
	first, ok := l.firsts.Get(id)
	if !ok {
		return Slice{}, false
	}
	s, _ := l.serving.Get(first)
	return *s, true
}

// Each calls f with the serving slices that touch a range, in order of keys,
// until it returns false.
func (l *Layout) Each(r Range, f func(Slice) bool) {
	from := r.First
	if s, ok := l.Find(r.First); ok {
		from = s.Range.First
	}
	l.serving.Ascend(from, func(first uint64, s *Slice) bool { return first <= r.Last && f(*s) })
}

// Slices lists the serving slices in order of keys.
func (l *Layout) Slices() []Slice {
	out := make([]Slice, 0, l.serving.Len())
	l.serving.Scan(func(_ uint64, s *Slice) bool {
		out = append(out, *s)
		return true
	})
	return out
}

// Held tells whether a slice's holders still have its data: it serves, or gave way
// to others in a plan that is not yet retired.
func (l *Layout) Held(id SliceID) (Slice, bool) {
	if s, ok := l.Slice(id); ok {
		return s, true
	}
	for _, p := range l.plans {
		if p.Step != Switched {
			continue
		}
		if i := slices.IndexFunc(p.From, func(s Slice) bool { return s.ID == id }); i >= 0 {
			return p.From[i], true
		}
	}
	return Slice{}, false
}

// Even makes a first version: n slices alike, dealt out to the sets in turn.
func Even(n int, sets [][]string) (*Layout, error) {
	if n < 1 || n > MaxSlices || len(sets) == 0 {
		return nil, fmt.Errorf("%w: %d slices over %d sets", ErrOrder, n, len(sets))
	}
	d := Document{Version: 1}
	for i, r := range All.Cut(n) {
		d.Slices = append(d.Slices, Slice{ID: FirstSlice + SliceID(i), Range: r, Epoch: 1, Holders: sets[i%len(sets)]})
	}
	return d.Layout(nil)
}

// share makes a copy to change; what is not changed is the same memory.
func (l *Layout) share() *Layout {
	l.copying.Lock()
	defer l.copying.Unlock()
	out := &Layout{version: l.version + 1, nextSlice: l.nextSlice, nextPlan: l.nextPlan,
		plans: slices.Clone(l.plans), past: l.past}
	out.serving, out.firsts = *l.serving.Copy(), *l.firsts.Copy()
	return out
}

func (l *Layout) put(s Slice) {
	l.serving.Set(s.Range.First, &s)
	l.firsts.Set(s.ID, s.Range.First)
}

func (l *Layout) drop(s Slice) {
	if old, ok := l.serving.Get(s.Range.First); ok && old.ID == s.ID {
		l.serving.Delete(s.Range.First)
	}
	l.firsts.Delete(s.ID)
}

// Check looks at every invariant of the version. Commands check what they touch.
func (l *Layout) Check() error {
	if err := l.covers(All); err != nil {
		return err
	}
	ids := map[SliceID]bool{}
	for _, s := range l.Slices() {
		if err := l.sound(s, ids); err != nil {
			return err
		}
	}
	for i, p := range l.plans {
		if p.ID >= l.nextPlan {
			return fmt.Errorf("%w: plan %d", ErrIdentity, p.ID)
		}
		for _, other := range l.plans[:i] {
			if other.touches(p.Range()) {
				return fmt.Errorf("%w: plans %d and %d", ErrOverlap, other.ID, p.ID)
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

func (l *Layout) sound(s Slice, ids map[SliceID]bool) error {
	if ids[s.ID] || s.ID < FirstSlice || s.ID >= l.nextSlice {
		return fmt.Errorf("%w: slice %d", ErrIdentity, s.ID)
	}
	ids[s.ID] = true
	if s.Epoch > l.version {
		return fmt.Errorf("%w: slice %d has epoch %d at version %d", ErrVersion, s.ID, s.Epoch, l.version)
	}
	return checkHolders(s)
}

func checkHolders(s Slice) error {
	if len(s.Holders) == 0 {
		return fmt.Errorf("%w: slice %d, %s", ErrHolder, s.ID, s.Range)
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(s.Holders)))
	if len(s.Holders) > MaxHolders || len(sorted) < len(s.Holders) || sorted[0] == "" {
		return fmt.Errorf("%w: slice %d has holders %.200q: one twice, one without a name, or more than %d",
			ErrOrder, s.ID, s.Holders, MaxHolders)
	}
	return nil
}

// covers tells whether serving slices cover a range exactly once.
func (l *Layout) covers(r Range) error {
	next, end := r.First, false
	var err error
	l.Each(r, func(s Slice) bool {
		if !s.Range.Valid() || end || s.Range.First > next || s.Range.First < next && s.Range.First > r.First {
			err = fmt.Errorf("%w: slice %d owns %s, expected from %016x", ErrCover, s.ID, s.Range, next)
			return false
		}
		end = s.Range.Last >= r.Last
		next = s.Range.Last + 1
		return true
	})
	if err == nil && !end {
		err = fmt.Errorf("%w: nothing from %016x on", ErrCover, next)
	}
	return err
}

// Document is a layout as it is written down.
type Document struct {
	Version   uint64  `json:"version" toml:"version"`
	NextSlice SliceID `json:"next_slice,omitempty" toml:"next_slice"`
	NextPlan  PlanID  `json:"next_plan,omitempty" toml:"next_plan"`
	Slices    []Slice `json:"slices,omitempty" toml:"slices"`
	Plans     []Plan  `json:"plans,omitempty" toml:"plans"`
	Past      []Plan  `json:"past,omitempty" toml:"past"`
}

// Document writes the layout down.
func (l *Layout) Document() Document {
	return Document{Version: l.version, NextSlice: l.nextSlice, NextPlan: l.nextPlan, Slices: l.Slices(),
		Plans: l.plans, Past: l.past}
}

// Layout reads a document and checks it. Where an earlier version is given, what
// did not change is shared with it.
func (d Document) Layout(earlier *Layout) (*Layout, error) {
	if len(d.Slices) > MaxSlices || len(d.Plans) > MaxPlans || len(d.Past) > MaxPast {
		return nil, fmt.Errorf("%w: %d slices, %d plans", ErrCapacity, len(d.Slices), len(d.Plans))
	}
	out := &Layout{}
	if earlier != nil {
		out = earlier.share()
		kept := map[SliceID]bool{}
		for _, s := range d.Slices {
			kept[s.ID] = true
		}
		for _, s := range earlier.Slices() {
			if !kept[s.ID] {
				out.drop(s)
			}
		}
	}
	out.version, out.nextSlice, out.nextPlan = max(1, d.Version), max(FirstSlice, d.NextSlice), max(1, d.NextPlan)
	out.plans, out.past = slices.Clone(d.Plans), slices.Clone(d.Past)
	slices.SortFunc(out.plans, func(a, b Plan) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range d.Slices {
		if d.NextSlice == 0 { // a hand-written first version
			out.nextSlice = max(out.nextSlice, s.ID+1)
			s.Epoch = max(1, s.Epoch)
		}
		if old, ok := out.Slice(s.ID); !ok || !old.same(s) {
			out.put(s)
		}
	}
	if out.serving.Len() != len(d.Slices) || out.firsts.Len() != len(d.Slices) {
		return nil, fmt.Errorf("%w: two slices share an id or a first key", ErrIdentity)
	}
	return out, out.Check()
}

func (s Slice) same(o Slice) bool {
	return s.ID == o.ID && s.Range == o.Range && s.Epoch == o.Epoch && slices.Equal(s.Holders, o.Holders)
}
