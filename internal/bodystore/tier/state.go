package tier

import (
	"time"

	"github.com/tidwall/btree"
)

// State holds the tier of each body and the bytes in use. Each event is a method. A method that returns moves has
// already applied them to the State; the caller only carries them out. A State is not safe for concurrent use.
type State struct {
	limits         Limits
	filesSuspended bool
	bodies         map[ID]*body
	evictionOrder  [2]*btree.BTreeG[*body] // bodies in Memory and File, sorted by evictedBefore
	usage          usage
	moves          []Move // results of the current event
}

// New returns a State without bodies.
func New(l Limits) *State {
	s := &State{limits: l, bodies: map[ID]*body{}, usage: newUsage(len(l.Classes))}
	for t := range s.evictionOrder {
		s.evictionOrder[t] = btree.NewBTreeGOptions(evictedBefore, btree.Options{NoLocks: true})
	}
	return s
}

// SetLimits replaces the limits of memory and files, in bytes.
func (s *State) SetLimits(memory, files int64) []Move {
	s.moves = nil
	s.limits.Memory, s.limits.Files = memory, files
	s.enforceLimits(nil)
	return s.moves
}

// SetFilesSuspended sets whether files accept no new bodies, as after a failed write. The default is false.
func (s *State) SetFilesSuspended(suspended bool) []Move {
	s.moves = nil
	s.filesSuspended = suspended
	s.enforceLimits(nil)
	return s.moves
}

// Add adds a body of size 0 in memory. It is arriving until MarkArrived and pending until MarkSent.
func (s *State) Add(id ID, class int, priorityWeight float64) {
	b := &body{id: id, class: class, priorityWeight: priorityWeight, pending: true}
	s.bodies[id] = b
	s.evictionOrder[Memory].Set(b)
}

// Grow records that n more bytes of a body have arrived. It returns false if the limits leave no capacity for them
// or the body is not known. The body has then been removed, and its query has to be rejected.
func (s *State) Grow(id ID, n int64) (moves []Move, hasCapacity bool) {
	b := s.bodies[id]
	if b == nil {
		return nil, false
	}
	s.moves = nil
	s.update(b, func() { b.size += n })
	if b.staysInMemory() && b.size > s.limits.MaxMemoryBodySize && s.fitsFiles(b) {
		s.moveToFile(b, ReasonTooLarge)
	}
	s.enforceLimits(b)
	if s.exceedsLimits(b) && s.bodies[id] != nil {
		s.remove(b)
		return s.moves, false
	}
	return s.moves, true
}

// MarkArrived records that a body has arrived completely.
func (s *State) MarkArrived(id ID) {
	if b := s.bodies[id]; b != nil {
		b.arrived = true
	}
}

// MarkSent records that all parts with a body have been sent, the last one at now.
func (s *State) MarkSent(id ID, now time.Duration) []Move {
	b := s.bodies[id]
	if b == nil {
		return nil
	}
	s.moves = nil
	s.update(b, func() { b.pending, b.sentAt = false, now })
	if b.staysInMemory() && b.size > s.limits.MaxMemoryBodySize { // it stayed in memory only because it was pending
		s.evict(b, ReasonTooLarge)
	}
	s.enforceLimits(nil)
	return s.moves
}

// MarkPending records that a part with a body has yet to be sent, for the first time or again.
func (s *State) MarkPending(id ID) {
	if b := s.bodies[id]; b != nil {
		s.update(b, func() { b.pending = true })
	}
}

// FinishMove ends a body's move to a file. If the body has not been written, it stays in memory within the limits;
// a body that is larger than Limits.MaxMemoryBodySize and not pending is evicted.
func (s *State) FinishMove(id ID, written bool) []Move {
	b := s.bodies[id]
	if b == nil || !b.moving {
		return nil
	}
	s.moves = nil
	if written {
		s.update(b, func() { b.moving, b.tier = false, File })
		return s.moves
	}
	s.update(b, func() { b.moving = false })
	s.enforceLimits(nil)
	if b.size > s.limits.MaxMemoryBodySize && !b.pending && s.bodies[id] != nil {
		s.evict(b, ReasonFileFailed)
	}
	return s.moves
}

// Remove removes a body that is no longer needed or can't be read.
func (s *State) Remove(id ID) {
	if b := s.bodies[id]; b != nil {
		s.remove(b)
	}
}

// Used returns the bytes in use of a tier's limit, 0 for None. A body whose move to a file is in flight counts for
// both tiers.
func (s *State) Used(t Tier) int64 {
	if t == None {
		return 0
	}
	return s.usage.bytes[t]
}

// Len returns the number of bodies, arriving ones included.
func (s *State) Len() int { return len(s.bodies) }

// TierOf returns the tier of a body, None if the body is not known. A body that moves is in Memory until FinishMove.
func (s *State) TierOf(id ID) Tier {
	if b := s.bodies[id]; b != nil {
		return b.tier
	}
	return None
}

// IsMoving reports whether a body's move to a file is in flight.
func (s *State) IsMoving(id ID) bool {
	b := s.bodies[id]
	return b != nil && b.moving
}
