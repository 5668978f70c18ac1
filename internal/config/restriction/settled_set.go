package restriction

import (
	"maps"
	"slices"
)

// MaxIncarnations bounds the incarnations of an instance that a SettledSet tells apart.
const MaxIncarnations = 8

// SettledSet is the set of requests that the log has decided. It is immutable, and the zero value is empty.
type SettledSet struct {
	origins map[Origin]sequences
}

// sequences is a set of sequence numbers: all up to upTo, and some above it.
type sequences struct {
	upTo  uint64
	above []uint64 // sorted
}

func (s sequences) contains(seq uint64) bool {
	_, found := slices.BinarySearch(s.above, seq)
	return seq <= s.upTo || found
}

// with returns the set with one number more; the old one is not changed.
func (s sequences) with(seq uint64) sequences {
	at, _ := slices.BinarySearch(s.above, seq)
	s.above = slices.Insert(slices.Clone(s.above), at, seq)
	for len(s.above) > 0 && s.above[0] == s.upTo+1 {
		s.upTo = s.above[0]
		s.above = s.above[1:]
	}
	return s
}

// Interval is the part of a settled set that belongs to one origin, in its stored form.
type Interval struct {
	Origin Origin   `cbor:"1,keyasint"`
	UpTo   uint64   `cbor:"2,keyasint"`
	Above  []uint64 `cbor:"3,keyasint,omitempty"`
}

// NewSettledSet returns the set that Intervals described.
func NewSettledSet(intervals []Interval) SettledSet {
	s := SettledSet{origins: map[Origin]sequences{}}
	for _, i := range intervals {
		s.origins[i.Origin] = sequences{upTo: i.UpTo, above: i.Above}
	}
	return s
}

// Intervals describes the set; equal sets give equal lists.
func (s SettledSet) Intervals() []Interval {
	intervals := make([]Interval, 0, len(s.origins))
	for origin, settled := range s.origins {
		intervals = append(intervals, Interval{Origin: origin, UpTo: settled.upTo, Above: settled.above})
	}
	slices.SortFunc(intervals, func(a, b Interval) int { return compareOrigins(a.Origin, b.Origin) })
	return intervals
}

// Contains tells whether the log has decided a request. Requests of an incarnation that is older than the latest
// MaxIncarnations count as decided, because nothing is remembered of them.
func (s SettledSet) Contains(id ID) bool {
	if settled, known := s.origins[id.Origin]; known {
		return settled.contains(id.Seq)
	}
	incarnations := s.incarnations(id.Origin.Instance)
	return len(incarnations) >= MaxIncarnations && id.Origin.Incarnation < incarnations[0]
}

// With returns the set with one request more; the receiver is not changed.
func (s SettledSet) With(id ID) SettledSet {
	if s.Contains(id) {
		return s
	}
	next := SettledSet{origins: maps.Clone(s.origins)}
	if next.origins == nil {
		next.origins = map[Origin]sequences{}
	}
	next.origins[id.Origin] = next.origins[id.Origin].with(id.Seq)
	if incarnations := next.incarnations(id.Origin.Instance); len(incarnations) > MaxIncarnations {
		delete(next.origins, Origin{Instance: id.Origin.Instance, Incarnation: incarnations[0]})
	}
	return next
}

// incarnations lists the known incarnations of an instance, sorted.
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
