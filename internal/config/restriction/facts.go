// Package restriction is what an instance holds of restrictive orders that no majority has confirmed yet: a set that grows by
// union, less what the log has settled. It touches no I/O, clock or goroutine. The proof of its rule is in
// docs/design/raft.md.
package restriction

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Level is how far a server is out of service. More is a larger value; the join of two is the larger.
type Level uint8

// The restrictions.
const (
	None Level = iota
	Draining
	Removed
)

// String is its name.
func (r Level) String() string {
	return [...]string{"none", "draining", "removed"}[min(r, Removed)]
}

// MarshalText is the restriction's name.
func (r Level) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a name.
func (r *Level) UnmarshalText(text []byte) error {
	for *r = None; *r <= Removed; *r++ {
		if r.String() == string(text) {
			return nil
		}
	}
	return fmt.Errorf("facts: no restriction %.20q", text)
}

// Origin is one process of an instance. Boot grows from one process to the next.
type Origin struct {
	Instance    string `cbor:"1,keyasint" json:"instance"`
	Incarnation uint64 `cbor:"2,keyasint" json:"boot"`
}

// ID names an order; it is never used again. Seq counts from 1.
type ID struct {
	Origin Origin `cbor:"1,keyasint" json:"origin"`
	Seq    uint64 `cbor:"2,keyasint" json:"seq"`
}

// String words an id.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Origin.Instance, id.Origin.Incarnation, id.Seq)
}

func compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Origin.Instance, b.Origin.Instance), cmp.Compare(a.Origin.Incarnation, b.Origin.Incarnation), cmp.Compare(a.Seq, b.Seq))
}

// Request takes a server out of service.
type Request struct {
	ID     ID     `cbor:"1,keyasint" json:"id"`
	Server string `cbor:"2,keyasint" json:"server"`
	Level  Level  `cbor:"3,keyasint" json:"kind"`
	Force  bool   `cbor:"4,keyasint,omitempty" json:"force,omitempty"` // also where it leaves a slice without a holder
}

const (
	// MaxPendingOwn bounds the unsettled orders of one process; past it no further one is taken there.
	MaxPendingOwn = 64
	// MaxPending bounds the unsettled orders that an instance holds, of all.
	MaxPending = 1024
	// MaxIncarnations bounds the processes of an instance that are told apart.
	MaxIncarnations = 8
)

// SettledSet is the set of orders that the log has decided. The zero value is empty.
type SettledSet struct {
	intervals map[Origin]sequences
}

// sequences is all numbers to upTo, and some above it.
type sequences struct {
	upTo  uint64
	above []uint64 // sorted
}

// Contains tells whether an order was decided, or comes from a process so old that it counts as decided.
func (s SettledSet) Contains(id ID) bool {
	if p, ok := s.intervals[id.Origin]; ok {
		_, found := slices.BinarySearch(p.above, id.Seq)
		return id.Seq <= p.upTo || found
	}
	boots := s.incarnations(id.Origin.Instance)
	return len(boots) >= MaxIncarnations && id.Origin.Incarnation < boots[0]
}

func (s SettledSet) incarnations(instance string) (out []uint64) {
	for o := range s.intervals {
		if o.Instance == instance {
			out = append(out, o.Incarnation)
		}
	}
	slices.Sort(out)
	return out
}

// With is the set with one order more; the old one stays as it is.
func (s SettledSet) With(id ID) SettledSet {
	if s.Contains(id) {
		return s
	}
	next := SettledSet{maps.Clone(s.intervals)}
	if next.intervals == nil {
		next.intervals = map[Origin]sequences{}
	}
	p := next.intervals[id.Origin]
	i, _ := slices.BinarySearch(p.above, id.Seq)
	p.above = slices.Insert(slices.Clone(p.above), i, id.Seq)
	for len(p.above) > 0 && p.above[0] == p.upTo+1 {
		p.upTo, p.above = p.above[0], p.above[1:]
	}
	next.intervals[id.Origin] = p
	if boots := next.incarnations(id.Origin.Instance); len(boots) > MaxIncarnations {
		delete(next.intervals, Origin{id.Origin.Instance, boots[0]})
	}
	return next
}

// Interval is a process's part of a settled set, as it is kept.
type Interval struct {
	Origin Origin   `cbor:"1,keyasint"`
	UpTo   uint64   `cbor:"2,keyasint"`
	Above  []uint64 `cbor:"3,keyasint,omitempty"`
}

// Intervals is the set in one order, the same for equal sets.
func (s SettledSet) Intervals() []Interval {
	out := make([]Interval, 0, len(s.intervals))
	for o, p := range s.intervals {
		out = append(out, Interval{o, p.upTo, p.above})
	}
	slices.SortFunc(out, func(a, b Interval) int { return compare(ID{Origin: a.Origin}, ID{Origin: b.Origin}) })
	return out
}

// NewSettledSet is the set that was kept.
func NewSettledSet(marks []Interval) SettledSet {
	s := SettledSet{map[Origin]sequences{}}
	for _, m := range marks {
		s.intervals[m.Origin] = sequences{m.UpTo, m.Above}
	}
	return s
}

// Replicated is what an instance has applied of the log: what it decided, and the restriction of each server by it.
type Replicated interface {
	Settled() SettledSet
	Restriction(server string) Level
}

// PendingSet is the orders that an instance holds beside the log. One goroutine uses it.
type PendingSet struct {
	origin  Origin
	lastSeq uint64 // number of the last order of its own
	pending map[ID]Request
}

// NewPendingSet holds nothing yet. No other process, of this instance or another, may have the same origin.
func NewPendingSet(me Origin) *PendingSet { return &PendingSet{origin: me, pending: map[ID]Request{}} }

// Issue makes an order of this instance's own, which holds here from now on.
func (h *PendingSet) Issue(server string, kind Level, force bool) (Request, error) {
	own := 0
	for id := range h.pending {
		if id.Origin == h.origin {
			own++
		}
	}
	if own >= MaxPendingOwn || len(h.pending) >= MaxPending {
		return Request{}, fmt.Errorf("facts: %d orders wait for the log already", max(own, len(h.pending)))
	}
	h.lastSeq++
	o := Request{ID{h.origin, h.lastSeq}, server, kind, force}
	h.pending[o.ID] = o
	return o, nil
}

// Receive takes orders that came beside the log, in any order and as often as they come; it tells those that were news.
// What finds no room is not held: it still comes through the log.
func (h *PendingSet) Receive(log Replicated, orders ...Request) (news []Request) {
	settled := log.Settled()
	for _, o := range orders {
		if _, known := h.pending[o.ID]; known || settled.Contains(o.ID) || len(h.pending) >= MaxPending || o.Level == None || o.Level > Removed {
			continue
		}
		h.pending[o.ID] = o
		news = append(news, o)
	}
	return news
}

// DropSettled drops what the log has settled; it tells the servers that this concerns.
func (h *PendingSet) DropSettled(log Replicated) (servers []string) {
	settled := log.Settled()
	for id, o := range h.pending {
		if settled.Contains(id) {
			delete(h.pending, id)
			servers = append(servers, o.Server)
		}
	}
	slices.Sort(servers)
	return slices.Compact(servers)
}

// List are the orders to spread and to propose, oldest of each origin first.
func (h *PendingSet) List() []Request {
	return slices.SortedFunc(maps.Values(h.pending), func(a, b Request) int { return compare(a.ID, b.ID) })
}

// Effective is the restriction of a server as it holds here: the log's joined with what the log has not settled.
func (h *PendingSet) Effective(log Replicated, server string) Level {
	r := log.Restriction(server)
	settled := log.Settled()
	for id, o := range h.pending {
		if o.Server == server && !settled.Contains(id) {
			r = max(r, o.Level)
		}
	}
	return r
}
