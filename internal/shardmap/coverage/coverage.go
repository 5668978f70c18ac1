// Package coverage tells what the answers of a query cover. It is the one place
// that says whole or not where a layout can move. It is pure.
package coverage

import (
	"cmp"
	"slices"

	"linkpass/internal/shardmap"
)

// RangeSet is a set of keys: ranges in order, apart from each other. The zero value
// is empty. Adding takes a search and a shift.
type RangeSet struct{ ranges []shardmap.Range }

// NewRangeSet is the union of ranges.
func NewRangeSet(ranges ...shardmap.Range) RangeSet {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b shardmap.Range) int { return cmp.Compare(a.First, b.First) })
	s := RangeSet{ranges: sorted[:0]} // what is written has been read
	for _, r := range sorted {
		if n := len(s.ranges); n > 0 && (s.ranges[n-1].Last >= r.First || s.ranges[n-1].Last+1 == r.First) {
			s.ranges[n-1].Last = max(s.ranges[n-1].Last, r.Last)
		} else {
			s.ranges = append(s.ranges, r)
		}
	}
	return s
}

// Add takes a range in, unless it shares a key with what is in: then nothing
// changes and it is false.
func (s *RangeSet) Add(r shardmap.Range) bool {
	i, found := s.search(r.First)
	if !r.Valid() || found || i > 0 && s.ranges[i-1].Last >= r.First || i < len(s.ranges) && s.ranges[i].First <= r.Last {
		return false
	}
	left := i > 0 && s.ranges[i-1].Last+1 == r.First
	right := i < len(s.ranges) && r.Last+1 == s.ranges[i].First
	switch {
	case left && right:
		s.ranges[i-1].Last = s.ranges[i].Last
		s.ranges = slices.Delete(s.ranges, i, i+1)
	case left:
		s.ranges[i-1].Last = r.Last
	case right:
		s.ranges[i].First = r.First
	default:
		s.ranges = slices.Insert(s.ranges, i, r)
	}
	return true
}

// search finds the first span that begins at a key or after it.
func (s *RangeSet) search(first uint64) (i int, found bool) {
	return slices.BinarySearchFunc(s.ranges, first, func(a shardmap.Range, k uint64) int { return cmp.Compare(a.First, k) })
}

// Covers tells whether every key of a range is in.
func (s *RangeSet) Covers(r shardmap.Range) bool {
	i, found := s.search(r.First)
	if !found {
		i--
	}
	return i >= 0 && s.ranges[i].Covers(r)
}

// Equal tells whether two sets have the same keys.
func (s RangeSet) Equal(o RangeSet) bool { return slices.Equal(s.ranges, o.ranges) }

// Subtract is the keys of s that are not in o.
func (s RangeSet) Subtract(o RangeSet) (out RangeSet) {
	for _, r := range s.ranges {
		left := true
		for _, hole := range o.ranges {
			both, some := r.Intersect(hole)
			if !some {
				continue
			}
			if both.First > r.First {
				out.ranges = append(out.ranges, shardmap.Range{First: r.First, Last: both.First - 1})
			}
			if both.Last == r.Last {
				left = false
				break
			}
			r.First = both.Last + 1
		}
		if left {
			out.ranges = append(out.ranges, r)
		}
	}
	return out
}

// Ranges lists the set in order.
func (s RangeSet) Ranges() []shardmap.Range { return slices.Clone(s.ranges) }

// Empty tells whether no key is in.
func (s RangeSet) Empty() bool { return len(s.ranges) == 0 }

// Size is the number of keys, rounded.
func (s RangeSet) Size() (n float64) {
	for _, r := range s.ranges {
		n += r.Size()
	}
	return n
}

// Tracker books the answers of one query against what it wants.
type Tracker struct {
	requested, answered RangeSet
	duplicate           bool
}

// NewTracker begins a query that wants the union of the ranges.
func NewTracker(wanted ...shardmap.Range) *Tracker {
	l := &Tracker{requested: NewRangeSet(wanted...)}
	l.answered.ranges = make([]shardmap.Range, 0, len(l.requested.ranges)+1)
	return l
}

// Requested lists what the query wants, in order. The list must not be changed.
func (l *Tracker) Requested() []shardmap.Range { return l.requested.ranges }

// Record takes an answer for a range in. It is false, and the answer must not be
// used, where a key of it is in already or was never wanted.
func (l *Tracker) Record(r shardmap.Range) bool {
	if !r.Valid() || !l.requested.Covers(r) || !l.answered.Add(r) {
		l.duplicate = true
		return false
	}
	return true
}

// Complete tells whether every wanted key is in exactly once.
func (l *Tracker) Complete() bool { return l.requested.Equal(l.answered) }

// Duplicate tells whether an answer was turned down.
func (l *Tracker) Duplicate() bool { return l.duplicate }

// Missing lists the ranges that are wanted and not in.
func (l *Tracker) Missing() []shardmap.Range { return l.requested.Subtract(l.answered).Ranges() }

// leastShare is what a range weighs at the least, beside others: a single key must not
// vanish in the rounding of sums beside half of all keys.
const leastShare = 0.001

// SplitWeight shares a weight out over ranges by their sizes, none under leastShare of it
// before they are made to add up.
func SplitWeight(total float64, ranges []shardmap.Range) []float64 {
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
