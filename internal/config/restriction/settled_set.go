package restriction

import (
	"maps"
	"slices"
)

// MaxIncarnations is the maximum number of incarnations of one instance that a SettledSet keeps, the latest ones.
const MaxIncarnations = 8

// SettledSet is the set of requests that the log has accepted or rejected. A request that an undrain of its server
// withdrew counts as rejected. The set is immutable. The zero value is an empty set.
type SettledSet struct {
	origins map[Origin]sequenceSet
}

// sequenceSet is a set of sequence numbers: all from 1 to upTo, and those listed in above.
type sequenceSet struct {
	upTo  uint64
	above []uint64 // sorted; each is greater than upTo+1, because with extends upTo over adjacent numbers
}

func (s sequenceSet) contains(seq uint64) bool {
	_, found := slices.BinarySearch(s.above, seq)
	return seq <= s.upTo || found
}

// with returns the set with seq added, which it must not contain yet. It does not change the receiver.
func (s sequenceSet) with(seq uint64) sequenceSet {
	at, _ := slices.BinarySearch(s.above, seq)
	s.above = slices.Insert(slices.Clone(s.above), at, seq)
	for len(s.above) > 0 && s.above[0] == s.upTo+1 {
		s.upTo = s.above[0]
		s.above = s.above[1:]
	}
	return s
}

// Interval is the stored form of the part of a SettledSet that belongs to one origin.
type Interval struct {
	Origin Origin `cbor:"1,keyasint"`
	// UpTo is the end of the contiguous range of settled sequence numbers, which starts at 1; 0: the range is empty.
	UpTo uint64 `cbor:"2,keyasint"`
	// Above lists the settled sequence numbers above UpTo, sorted.
	Above []uint64 `cbor:"3,keyasint,omitempty"`
}

// NewSettledSet returns the set that a result of Intervals describes.
func NewSettledSet(intervals []Interval) SettledSet {
	s := SettledSet{origins: map[Origin]sequenceSet{}}
	for _, i := range intervals {
		s.origins[i.Origin] = sequenceSet{upTo: i.UpTo, above: i.Above}
	}
	return s
}

// Intervals returns the stored form of the set, sorted by origin. Equal sets have equal intervals.
func (s SettledSet) Intervals() []Interval {
	intervals := make([]Interval, 0, len(s.origins))
	for origin, settled := range s.origins {
		intervals = append(intervals, Interval{Origin: origin, UpTo: settled.upTo, Above: settled.above})
	}
	slices.SortFunc(intervals, func(a, b Interval) int { return compareOrigins(a.Origin, b.Origin) })
	return intervals
}

// Contains reports whether the log has settled a request. The set keeps nothing about incarnations that are older than
// the latest MaxIncarnations of an instance, so their requests count as settled.
func (s SettledSet) Contains(id ID) bool {
	if settled, known := s.origins[id.Origin]; known {
		return settled.contains(id.Seq)
	}
	incarnations := s.incarnations(id.Origin.Instance)
	return len(incarnations) >= MaxIncarnations && id.Origin.Incarnation < incarnations[0]
}

// With returns the set with a request added. It does not change the receiver.
func (s SettledSet) With(id ID) SettledSet {
	if s.Contains(id) {
		return s
	}
	next := SettledSet{origins: maps.Clone(s.origins)}
	if next.origins == nil {
		next.origins = map[Origin]sequenceSet{}
	}
	next.origins[id.Origin] = next.origins[id.Origin].with(id.Seq)
	if incarnations := next.incarnations(id.Origin.Instance); len(incarnations) > MaxIncarnations {
		delete(next.origins, Origin{Instance: id.Origin.Instance, Incarnation: incarnations[0]})
	}
	return next
}

// incarnations lists the incarnations of an instance that the set keeps, sorted.
func (s SettledSet) incarnations(instance string) []uint64 {
	var incarnations []uint64
	for origin := range s.origins {
		if origin.Instance == instance {
			incarnations = append(incarnations, origin.Incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}
