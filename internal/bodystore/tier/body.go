package tier

import (
	"cmp"
	"time"
)

// body is the state of one body.
type body struct {
	id             ID
	class          int
	priorityWeight float64
	size           int64 // bytes that have arrived
	tier           Tier
	moving         bool          // a move from memory to a file is in flight
	arrived        bool          // has arrived completely
	pending        bool          // a part with this body has yet to be sent
	sentAt         time.Duration // clock time at which the last part was sent; 0 before that
}

// priorityDensity returns the priority weight per byte. An empty body counts as 1 byte.
func (b *body) priorityDensity() float64 { return b.priorityWeight / float64(max(1, b.size)) }

// staysInMemory reports whether the body is in memory and no move to a file is in flight.
func (b *body) staysInMemory() bool { return b.tier == Memory && !b.moving }

// isEvictable reports whether the body may be evicted: it has arrived, all parts with it have been sent and no
// move is in flight.
func (b *body) isEvictable() bool { return b.arrived && !b.pending && !b.moving }

// evictedBefore is the eviction order: bodies with the lowest priority density come first. Among equals, bodies
// that are not pending come before pending ones, then those sent last, then those with the highest ID.
func evictedBefore(a, b *body) bool {
	return cmp.Or(
		cmp.Compare(a.priorityDensity(), b.priorityDensity()),
		compareBool(a.pending, b.pending),
		cmp.Compare(b.sentAt, a.sentAt),
		cmp.Compare(b.id, a.id),
	) < 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
