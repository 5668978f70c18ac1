// Package coverage tells what the answers of a query cover. It is the one place
// that says whole or not where a layout can move. It is pure.
package coverage

import (
	"cmp"
	"slices"

	"linkpass/internal/shardmap"
)

// Set is a set of keys: ranges in order, apart from each other. The zero value
// is empty. Adding takes a search and a shift.
type Set struct{ spans []shardmap.Range }

// Of is the union of ranges.
func Of(ranges ...shardmap.Range) Set {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b shardmap.Range) int { return cmp.Compare(a.First, b.First) })
	s := Set{spans: sorted[:0]} // what is written has been read
	for _, r := range sorted {
		if n := len(s.spans); n > 0 && (s.spans[n-1].Last >= r.First || s.spans[n-1].Last+1 == r.First) {
			s.spans[n-1].Last = max(s.spans[n-1].Last, r.Last)
		} else {
			s.spans = append(s.spans, r)
		}
	}
	return s
}

// Add takes a range in, unless it shares a key with what is in: then nothing
// changes and it is false.
func (s *Set) Add(r shardmap.Range) bool {
	i, found := s.search(r.First)
	if !r.Valid() || found || i > 0 && s.spans[i-1].Last >= r.First || i < len(s.spans) && s.spans[i].First <= r.Last {
		return false
	}
	left := i > 0 && s.spans[i-1].Last+1 == r.First
	right := i < len(s.spans) && r.Last+1 == s.spans[i].First
	switch {
	case left && right:
		s.spans[i-1].Last = s.spans[i].Last
		s.spans = slices.Delete(s.spans, i, i+1)
	case left:
		s.spans[i-1].Last = r.Last
	case right:
		s.spans[i].First = r.First
	default:
		s.spans = slices.Insert(s.spans, i, r)
	}
	return true
}

// search finds the first span that begins at a key or after it.
func (s *Set) search(first uint64) (i int, found bool) {
	return slices.BinarySearchFunc(s.spans, first, func(a shardmap.Range, k uint64) int { return cmp.Compare(a.First, k) })
}

// Holds tells whether every key of a range is in.
func (s *Set) Holds(r shardmap.Range) bool {
	i, found := s.search(r.First)
	if !found {
		i--
	}
	return i >= 0 && s.spans[i].Covers(r)
}

// Equal tells whether two sets have the same keys.
func (s Set) Equal(o Set) bool { return slices.Equal(s.spans, o.spans) }

// Less is the keys of s that are not in o.
func (s Set) Less(o Set) (out Set) {
	for _, r := range s.spans {
		left := true
		for _, hole := range o.spans {
			both, some := r.Intersect(hole)
			if !some {
				continue
			}
			if both.First > r.First {
				out.spans = append(out.spans, shardmap.Range{First: r.First, Last: both.First - 1})
			}
			if both.Last == r.Last {
				left = false
				break
			}
			r.First = both.Last + 1
		}
		if left {
			out.spans = append(out.spans, r)
		}
	}
	return out
}

// Ranges lists the set in order.
func (s Set) Ranges() []shardmap.Range { return slices.Clone(s.spans) }

// Empty tells whether no key is in.
func (s Set) Empty() bool { return len(s.spans) == 0 }

// Size is the number of keys, rounded.
func (s Set) Size() (n float64) {
	for _, r := range s.spans {
		n += r.Size()
	}
	return n
}

// Ledger books the answers of one query against what it wants.
type Ledger struct {
	wanted, in Set
	doubled    bool
}

// NewLedger begins a query that wants the union of the ranges.
func NewLedger(wanted ...shardmap.Range) *Ledger {
	l := &Ledger{wanted: Of(wanted...)}
	l.in.spans = make([]shardmap.Range, 0, len(l.wanted.spans)+1)
	return l
}

// Wanted lists what the query wants, in order. The list must not be changed.
func (l *Ledger) Wanted() []shardmap.Range { return l.wanted.spans }

// Book takes an answer for a range in. It is false, and the answer must not be
// used, where a key of it is in already or was never wanted.
func (l *Ledger) Book(r shardmap.Range) bool {
	if !r.Valid() || !l.wanted.Holds(r) || !l.in.Add(r) {
		l.doubled = true
		return false
	}
	return true
}

// Whole tells whether every wanted key is in exactly once.
func (l *Ledger) Whole() bool { return l.wanted.Equal(l.in) }

// Doubled tells whether an answer was turned down.
func (l *Ledger) Doubled() bool { return l.doubled }

// Missing lists the ranges that are wanted and not in.
func (l *Ledger) Missing() []shardmap.Range { return l.wanted.Less(l.in).Ranges() }

// leastShare is what a range weighs at the least, beside others: a single key must not
// vanish in the rounding of sums beside half of all keys.
const leastShare = 0.001

// Weights shares a weight out over ranges by their sizes, none under leastShare of it
// before they are made to add up.
func Weights(total float64, ranges []shardmap.Range) []float64 {
	size, sum := 0.0, 0.0
	for _, r := range ranges {
		size += r.Size()
	}
	out := make([]float64, len(ranges))
	for i, r := range ranges {
		out[i] = max(leastShare, r.Size()/size)
		sum += out[i]
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}
