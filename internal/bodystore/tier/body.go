package tier

import (
	"cmp"
	"time"
)

// body is what the tiers know of one body.
type body struct {
	id             ID
	class          int
	priorityWeight float64
	size           int64 // bytes that have arrived
	tier           Tier
	moving         bool          // from memory to a file
	arrived        bool          // completely
	pending        bool          // a part with it has yet to be sent
	sentAt         time.Duration // when the last such part was
}

// priorityDensity is the priority weight for each byte.
func (b *body) priorityDensity() float64 { return b.priorityWeight / float64(max(1, b.size)) }

// staysInMemory reports whether the body is in memory and no move to a file is in flight.
func (b *body) staysInMemory() bool { return b.tier == Memory && !b.moving }

// isEvictable reports whether the body may be evicted: no part with it has yet to be sent.
func (b *body) isEvictable() bool { return b.arrived && !b.pending && !b.moving }

// evictedBefore is the order of eviction: lowest priority density first, then bodies without pending
// parts, then the one sent last.
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
