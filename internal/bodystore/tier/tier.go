// Package tier decides where the bodies of queries lie: in memory, in files or nowhere, and
// what gives way when there is no room. It is pure: events in, moves out, in a fixed order.
package tier

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// ID names a body.
type ID uint64

// Tier is where a body lies.
type Tier uint8

// The tiers, from the first to the last. No body ever moves up.
const (
	Memory Tier = iota
	File
	None
)

// String is the word for figures and log lines.
func (t Tier) String() string { return [...]string{Memory: "memory", File: "file", None: "none"}[t] }

// Class is what a class of queries may count on.
type Class struct {
	GuaranteedBytes int64   // bytes in memory that other classes cannot take
	MaxMemoryShare float64 // of the memory that the class may have at most; 0: all
}

// Limits are the budgets, in bytes.
type Limits struct {
	Memory  int64
	Files   int64 // 0: there are none
	Largest int64 // a body above this does not stay in memory
	Classes []Class
}

// memoryOvercommit is how far memory may run over its budget while moves to files are under way.
const memoryOvercommit = 0.25

// Move is what is to be done with a body. To File: write it there and tell by Filed. To None: it is
// given up already.
type Move struct {
	ID  ID
	To  Tier
	Reason string
}

// The reasons of moves, for figures.
const (
	ReasonTooLarge   = "too_large"
	ReasonNoCapacity   = "no_room"
	ReasonFileFailed = "file_failed"
	ReasonClassShare  = "class_share"
)

type body struct {
	id      ID
	class   int
	worth   float64
	size    int64
	tier    Tier
	moving  bool // to a file
	whole   bool // it has arrived
	waiting bool // a part of it is yet to be written
	sent    time.Duration
}

// State is the tiers' state.
type State struct {
	limits Limits
	bodies map[ID]*body
	order  [2]*btree.BTreeG[*body] // of memory and files: what gives way first
	used   [2]int64
	moving int64 // bytes in memory on their way to files
	class  []int64
	rest   bool // files take nothing new
	out    []Move
}

// New makes an empty state.
func New(l Limits) *State {
	s := &State{limits: l, bodies: map[ID]*body{}, class: make([]int64, len(l.Classes))}
	for t := range s.order {
		s.order[t] = btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
	}
	return s
}

// less tells which of two bodies gives way first: the one of less worth for each byte, then one whose
// parts are all out, then the one sent last.
func less(a, b *body) bool {
	return cmp.Or(cmp.Compare(a.density(), b.density()), compareBool(a.waiting, b.waiting),
		cmp.Compare(b.sent, a.sent), cmp.Compare(b.id, a.id)) < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (b *body) density() float64 { return b.worth / float64(max(1, b.size)) }

// SetLimits changes the budgets of memory and files, as when two processes share them.
func (s *State) SetLimits(memory, files int64) []Move {
	s.limits.Memory, s.limits.Files = memory, files
	return s.act(func() { s.relieve(nil) })
}

// Add begins a body that is about to arrive. Its worth may be shared by several queries.
func (s *State) Add(id ID, class int, worth float64) {
	b := &body{id: id, class: class, worth: worth, waiting: true}
	s.bodies[id] = b
	s.order[Memory].Set(b)
}

// Grow says that so many bytes more have arrived. It is false where there is no room for
// them: the body is forgotten, and the client is to be refused.
func (s *State) Grow(id ID, n int64) (moves []Move, room bool) {
	b := s.bodies[id]
	if b == nil {
		return nil, false
	}
	room = true
	moves = s.act(func() {
		s.change(b, func() { b.size += n })
		if b.tier == Memory && !b.moving && b.size > s.limits.Largest && s.fits(b) {
			s.toFile(b, ReasonTooLarge)
		}
		s.relieve(b)
		over := s.used[Memory] > s.limits.Memory+int64(memoryOvercommit*float64(s.limits.Memory)) ||
			s.used[Memory]-s.moving > s.limits.Memory || b.tier == File && s.used[File] > s.limits.Files || s.overShare(b)
		if over && s.bodies[id] != nil {
			s.forget(b)
			room = false
		}
	})
	return moves, room
}

// overShare tells whether a class has more of the memory than its share.
func (s *State) overShare(b *body) bool {
	if b.tier != Memory || b.moving || b.class >= len(s.limits.Classes) {
		return false
	}
	c := s.limits.Classes[b.class]
	return c.MaxMemoryShare > 0 && float64(s.class[b.class]) > max(c.MaxMemoryShare*float64(s.limits.Memory), float64(c.GuaranteedBytes))
}

// MarkArrived says that a body has arrived.
func (s *State) MarkArrived(id ID) {
	if b := s.bodies[id]; b != nil {
		b.whole = true
	}
}

// Worth changes what a body is worth: a query more shares it, or one less.
func (s *State) Worth(id ID, worth float64) {
	if b := s.bodies[id]; b != nil {
		s.change(b, func() { b.worth = worth })
	}
}

// MarkSent says that no part of a body is yet to be written, as of now.
func (s *State) MarkSent(id ID, now time.Duration) []Move {
	b := s.bodies[id]
	if b == nil {
		return nil
	}
	return s.act(func() {
		s.change(b, func() { b.waiting, b.sent = false, now })
		if b.tier == Memory && !b.moving && b.size > s.limits.Largest { // kept only until it was sent
			s.toNone(b, ReasonTooLarge)
		}
		s.relieve(nil)
	})
}

// MarkPending says that a part of a body is to be written again.
func (s *State) MarkPending(id ID) {
	if b := s.bodies[id]; b != nil {
		s.change(b, func() { b.waiting = true })
	}
}

// FinishMove says how a move to a file ended.
func (s *State) FinishMove(id ID, ok bool) []Move {
	b := s.bodies[id]
	if b == nil || !b.moving {
		return nil
	}
	return s.act(func() {
		s.change(b, func() {
			b.moving = false
			if ok {
				b.tier = File
			}
		})
		if !ok {
			s.relieve(nil)
			if b.size > s.limits.Largest && !b.waiting && s.bodies[id] != nil {
				s.toNone(b, ReasonFileFailed)
			}
		}
	})
}

// SetFilesSuspended says whether files take nothing new for now: the disk is full or failing.
func (s *State) SetFilesSuspended(rest bool) []Move {
	s.rest = rest
	return s.act(func() { s.relieve(nil) })
}

// Remove says that a body is needed no more, or cannot be read any more.
func (s *State) Remove(id ID) {
	if b := s.bodies[id]; b != nil {
		s.forget(b)
	}
}

// Used is how many bytes lie in a tier.
func (s *State) Used(t Tier) int64 {
	if t == None {
		return 0
	}
	return s.used[t]
}

// Len is how many bodies there are.
func (s *State) Len() int { return len(s.bodies) }

// TierOf is the tier of a body; None: it is not held.
func (s *State) TierOf(id ID) Tier {
	if b := s.bodies[id]; b != nil {
		return b.tier
	}
	return None
}

// act gathers the moves of one event.
func (s *State) act(f func()) []Move {
	s.out = nil
	f()
	return s.out
}

// account adds a body to the sums, or takes it out.
func (s *State) account(b *body, sign int64) {
	if b.tier == None {
		return
	}
	s.used[b.tier] += sign * b.size
	if b.moving {
		s.moving += sign * b.size
		s.used[File] += sign * b.size // its place there is taken already
	} else if b.tier == Memory && b.class < len(s.class) {
		s.class[b.class] += sign * b.size
	}
}

// change changes a body under the order that it stands in.
func (s *State) change(b *body, f func()) {
	s.order[b.tier].Delete(b)
	s.account(b, -1)
	f()
	s.account(b, 1)
	s.order[b.tier].Set(b)
}

func (s *State) forget(b *body) {
	s.order[b.tier].Delete(b)
	s.account(b, -1)
	delete(s.bodies, b.id)
}

// fits tells whether files have room for a body.
func (s *State) fits(b *body) bool { return !s.rest && s.used[File]+b.size <= s.limits.Files }

func (s *State) toFile(b *body, why string) {
	s.change(b, func() { b.moving = true })
	s.out = append(s.out, Move{b.id, File, why})
}

func (s *State) toNone(b *body, why string) {
	s.forget(b)
	s.out = append(s.out, Move{b.id, None, why})
}

// droppable tells whether a body may be given up: nothing of it is yet to be written.
func (b *body) droppable() bool { return b.whole && !b.waiting && !b.moving }

// relieve brings memory and files back to their budgets; cause is the body that grew.
func (s *State) relieve(cause *body) {
	for s.used[File] > s.limits.Files {
		v := s.first(File, nil, (*body).droppable)
		if v == nil {
			break
		}
		s.toNone(v, ReasonNoCapacity)
	}
	for cause != nil && s.overShare(cause) {
		mine := func(b *body) bool { return b.class == cause.class && s.givesWay(b) }
		v := s.first(Memory, nil, mine)
		if v == nil || !s.give(v, ReasonClassShare) {
			break
		}
	}
	for s.used[Memory]-s.moving > s.limits.Memory {
		v := s.first(Memory, cause, s.givesWay)
		if v == nil || !s.give(v, ReasonNoCapacity) {
			break
		}
	}
}

// givesWay tells whether a body in memory can be moved at all.
func (s *State) givesWay(b *body) bool {
	return !b.moving && b.size > 0 && (s.roomFor(b) || b.droppable())
}

// give moves a body down, as far as it has to.
func (s *State) give(v *body, why string) bool {
	if s.roomFor(v) {
		for !s.fits(v) {
			s.toNone(s.first(File, nil, s.lessThan(v)), ReasonNoCapacity)
		}
		s.toFile(v, why)
		return true
	}
	if v.droppable() {
		s.toNone(v, why)
		return true
	}
	return false
}

// lessThan picks what lies in files, may be dropped and is worth less for each byte than v.
func (*State) lessThan(v *body) func(*body) bool {
	return func(b *body) bool { return b.droppable() && b.density() < v.density() }
}

// roomFor tells whether files have room for a body, or would once what is worth less is dropped.
func (s *State) roomFor(v *body) bool {
	if s.rest || v.size > s.limits.Files {
		return false
	}
	free := s.limits.Files - s.used[File]
	if free >= v.size {
		return true
	}
	worthless := s.lessThan(v)
	s.order[File].Scan(func(b *body) bool {
		if b.density() >= v.density() {
			return false
		}
		if worthless(b) {
			free += b.size
		}
		return free < v.size
	})
	return free >= v.size
}

// first is the first of a tier, in the order of giving way, that may; a class at its floor keeps
// what it has from the others.
func (s *State) first(t Tier, cause *body, may func(*body) bool) (found *body) {
	s.order[t].Scan(func(b *body) bool {
		if may(b) && (t != Memory || !s.floored(b, cause)) {
			found = b
		}
		return found == nil
	})
	return found
}

// floored tells whether taking a body would leave its class under its floor for another's sake.
func (s *State) floored(b, cause *body) bool {
	if b.class >= len(s.limits.Classes) || cause == nil || cause.class == b.class {
		return false
	}
	return s.class[b.class]-b.size < s.limits.Classes[b.class].GuaranteedBytes
}

// IsMoving tells whether a body is on its way to a file.
func (s *State) IsMoving(id ID) bool { b := s.bodies[id]; return b != nil && b.moving }
