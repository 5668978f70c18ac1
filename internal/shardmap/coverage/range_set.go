package coverage

import (
	"cmp"
	"slices"

	"linkpass/internal/shardmap"
)

// RangeSet is a set of keys, stored as ranges. The zero value is empty.
type RangeSet struct {
	ranges []shardmap.Range // sorted; no two overlap or are adjacent, since NewRangeSet and Add join those that do
}

// NewRangeSet returns the union of ranges, which may overlap and come in any order.
func NewRangeSet(ranges ...shardmap.Range) RangeSet {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b shardmap.Range) int { return cmp.Compare(a.First, b.First) })
	merged := sorted[:0] // reuses the array: the write position never passes the read position
	for _, r := range sorted {
		n := len(merged)
		if n > 0 && (merged[n-1].Last >= r.First || merged[n-1].Last+1 == r.First) {
			merged[n-1].Last = max(merged[n-1].Last, r.Last)
		} else {
			merged = append(merged, r)
		}
	}
	return RangeSet{ranges: merged}
}

// Add adds a range of which the set has no key yet. It reports false and leaves the set unchanged if the range
// is invalid or the set has any of its keys.
func (s *RangeSet) Add(r shardmap.Range) bool {
	i, found := s.search(r.First)
	overlapsLeft := i > 0 && s.ranges[i-1].Last >= r.First
	overlapsRight := i < len(s.ranges) && s.ranges[i].First <= r.Last
	if !r.Valid() || found || overlapsLeft || overlapsRight {
		return false
	}
	joinsLeft := i > 0 && s.ranges[i-1].Last+1 == r.First
	joinsRight := i < len(s.ranges) && r.Last+1 == s.ranges[i].First
	switch {
	case joinsLeft && joinsRight:
		s.ranges[i-1].Last = s.ranges[i].Last
		s.ranges = slices.Delete(s.ranges, i, i+1)
	case joinsLeft:
		s.ranges[i-1].Last = r.Last
	case joinsRight:
		s.ranges[i].First = r.First
	default:
		s.ranges = slices.Insert(s.ranges, i, r)
	}
	return true
}

// search returns the index of the first range that begins at the key first or after it, and whether it begins at
// that key.
func (s *RangeSet) search(first uint64) (i int, found bool) {
	return slices.BinarySearchFunc(s.ranges, first, func(r shardmap.Range, key uint64) int {
		return cmp.Compare(r.First, key)
	})
}

// Covers reports whether every key of a range is in the set.
func (s *RangeSet) Covers(r shardmap.Range) bool {
	i, found := s.search(r.First)
	if !found {
		i--
	}
	return i >= 0 && s.ranges[i].Covers(r)
}

// Equal reports whether two sets have the same keys.
func (s RangeSet) Equal(other RangeSet) bool { return slices.Equal(s.ranges, other.ranges) }

// Subtract returns the keys of s that are not in other.
func (s RangeSet) Subtract(other RangeSet) (difference RangeSet) {
	for _, rest := range s.ranges {
		empty := false
		for _, subtracted := range other.ranges {
			common, ok := rest.Intersect(subtracted)
			if !ok {
				continue
			}
			if common.First > rest.First {
				before := shardmap.Range{First: rest.First, Last: common.First - 1}
				difference.ranges = append(difference.ranges, before)
			}
			if common.Last == rest.Last {
				empty = true
				break
			}
			rest.First = common.Last + 1
		}
		if !empty {
			difference.ranges = append(difference.ranges, rest)
		}
	}
	return difference
}

// Ranges lists the set in key order, in a slice of its own.
func (s RangeSet) Ranges() []shardmap.Range { return slices.Clone(s.ranges) }

// Empty reports whether the set has no key.
func (s RangeSet) Empty() bool { return len(s.ranges) == 0 }

// Size is the number of keys, rounded to a float64.
func (s RangeSet) Size() (n float64) {
	for _, r := range s.ranges {
		n += r.Size()
	}
	return n
}
