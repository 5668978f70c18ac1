package tier

import (
	"time"

	"github.com/tidwall/btree"
)

// State holds the tier of each body and the bytes used. Each event of a body is a method; those that
// return moves have applied them to the state already. It is not safe for concurrent use.
type State struct {
	limits         Limits
	filesSuspended bool
	bodies         map[ID]*body
	evictionOrder  [2]*btree.BTreeG[*body] // of Memory and File
	usage          usage
	moves          []Move // of the current event
}

// New returns a state without bodies.
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

// SetFilesSuspended says whether files accept no new bodies, as after a failed write.
func (s *State) SetFilesSuspended(suspended bool) []Move {
	s.moves = nil
	s.filesSuspended = suspended
	s.enforceLimits(nil)
	return s.moves
}

// Add begins a body of size 0 that arrives in memory. It is pending until MarkSent.
func (s *State) Add(id ID, class int, priorityWeight float64) {
	b := &body{id: id, class: class, priorityWeight: priorityWeight, pending: true}
	s.bodies[id] = b
	s.evictionOrder[Memory].Set(b)
}

// Grow says that n more bytes of a body have arrived. It returns false where the limits leave no
// capacity for them: the body is removed and its query has to be rejected.
func (s *State) Grow(id ID, n int64) (moves []Move, hasCapacity bool) {
	b := s.bodies[id]
	if b == nil {
		return nil, false
	}
	s.moves = nil
	s.update(b, func() { b.size += n })
	if b.staysInMemory() && b.size > s.limits.Largest && s.fitsFiles(b) {
		s.moveToFile(b, ReasonTooLarge)
	}
	s.enforceLimits(b)
	if s.exceedsLimits(b) && s.bodies[id] != nil {
		s.remove(b)
		return s.moves, false
	}
	return s.moves, true
}

// MarkArrived says that a body has arrived completely.
func (s *State) MarkArrived(id ID) {
	if b := s.bodies[id]; b != nil {
		b.arrived = true
	}
}

// MarkSent says that every part with a body has been sent by now.
func (s *State) MarkSent(id ID, now time.Duration) []Move {
	b := s.bodies[id]
	if b == nil {
		return nil
	}
	s.moves = nil
	s.update(b, func() { b.pending, b.sentAt = false, now })
	if b.staysInMemory() && b.size > s.limits.Largest { // only its pending parts kept it there
		s.evict(b, ReasonTooLarge)
	}
	s.enforceLimits(nil)
	return s.moves
}

// MarkPending says that a part with a body has to be sent, or sent again.
func (s *State) MarkPending(id ID) {
	if b := s.bodies[id]; b != nil {
		s.update(b, func() { b.pending = true })
	}
}

// FinishMove says whether a body has been written to a file. It stays in memory if not, unless it is
// too large for it.
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
	if b.size > s.limits.Largest && !b.pending && s.bodies[id] != nil {
		s.evict(b, ReasonFileFailed)
	}
	return s.moves
}

// Remove says that a body is not needed any more or can't be read.
func (s *State) Remove(id ID) {
	if b := s.bodies[id]; b != nil {
		s.remove(b)
	}
}

// Used returns the bytes of a tier's limit that are in use.
func (s *State) Used(t Tier) int64 {
	if t == None {
		return 0
	}
	return s.usage.bytes[t]
}

// Len returns the number of bodies.
func (s *State) Len() int { return len(s.bodies) }

// TierOf returns where a body is stored, None if it is not known.
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
