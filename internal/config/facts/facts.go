// Package facts is what an instance holds of restrictive orders that no majority has confirmed yet: a set that grows by
// union, less what the log has settled. It touches no I/O, clock or goroutine. The proof of its rule is in
// docs/design/raft.md.
package facts

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Restriction is how far a server is out of service. More is a larger value; the join of two is the larger.
type Restriction uint8

// The restrictions.
const (
	None Restriction = iota
	Draining
	Removed
)

// String is its name.
func (r Restriction) String() string {
	return [...]string{"none", "draining", "removed"}[min(r, Removed)]
}

// MarshalText is the restriction's name.
func (r Restriction) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a name.
func (r *Restriction) UnmarshalText(text []byte) error {
	for *r = None; *r <= Removed; *r++ {
		if r.String() == string(text) {
			return nil
		}
	}
	return fmt.Errorf("facts: no restriction %.20q", text)
}

// Origin is one process of an instance. Boot grows from one process to the next.
type Origin struct {
	Instance string `cbor:"1,keyasint" json:"instance"`
	Boot     uint64 `cbor:"2,keyasint" json:"boot"`
}

// ID names an order; it is never used again. Seq counts from 1.
type ID struct {
	Origin Origin `cbor:"1,keyasint" json:"origin"`
	Seq    uint64 `cbor:"2,keyasint" json:"seq"`
}

// String words an id.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Origin.Instance, id.Origin.Boot, id.Seq)
}

func compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Origin.Instance, b.Origin.Instance), cmp.Compare(a.Origin.Boot, b.Origin.Boot), cmp.Compare(a.Seq, b.Seq))
}

// Order takes a server out of service.
type Order struct {
	ID     ID          `cbor:"1,keyasint" json:"id"`
	Server string      `cbor:"2,keyasint" json:"server"`
	Kind   Restriction `cbor:"3,keyasint" json:"kind"`
	Force  bool        `cbor:"4,keyasint,omitempty" json:"force,omitempty"` // also where it leaves a slice without a holder
}

const (
	// MaxOpen bounds the unsettled orders of one process; past it no further one is taken there.
	MaxOpen = 64
	// MaxHeard bounds the unsettled orders that an instance holds, of all.
	MaxHeard = 1024
	// MaxBoots bounds the processes of an instance that are told apart.
	MaxBoots = 8
)

// Settled is the set of orders that the log has decided. The zero value is empty.
type Settled struct {
	of map[Origin]span
}

// span is all numbers to upTo, and some above it.
type span struct {
	upTo  uint64
	above []uint64 // sorted
}

// Has tells whether an order was decided, or comes from a process so old that it counts as decided.
func (s Settled) Has(id ID) bool {
	if p, ok := s.of[id.Origin]; ok {
		_, found := slices.BinarySearch(p.above, id.Seq)
		return id.Seq <= p.upTo || found
	}
	boots := s.boots(id.Origin.Instance)
	return len(boots) >= MaxBoots && id.Origin.Boot < boots[0]
}

func (s Settled) boots(instance string) (out []uint64) {
	for o := range s.of {
		if o.Instance == instance {
			out = append(out, o.Boot)
		}
	}
	slices.Sort(out)
	return out
}

// With is the set with one order more; the old one stays as it is.
func (s Settled) With(id ID) Settled {
	if s.Has(id) {
		return s
	}
	next := Settled{maps.Clone(s.of)}
	if next.of == nil {
		next.of = map[Origin]span{}
	}
	p := next.of[id.Origin]
	i, _ := slices.BinarySearch(p.above, id.Seq)
	p.above = slices.Insert(slices.Clone(p.above), i, id.Seq)
	for len(p.above) > 0 && p.above[0] == p.upTo+1 {
		p.upTo, p.above = p.above[0], p.above[1:]
	}
	next.of[id.Origin] = p
	if boots := next.boots(id.Origin.Instance); len(boots) > MaxBoots {
		delete(next.of, Origin{id.Origin.Instance, boots[0]})
	}
	return next
}

// Mark is a process's part of a settled set, as it is kept.
type Mark struct {
	Origin Origin   `cbor:"1,keyasint"`
	UpTo   uint64   `cbor:"2,keyasint"`
	Above  []uint64 `cbor:"3,keyasint,omitempty"`
}

// Marks is the set in one order, the same for equal sets.
func (s Settled) Marks() []Mark {
	out := make([]Mark, 0, len(s.of))
	for o, p := range s.of {
		out = append(out, Mark{o, p.upTo, p.above})
	}
	slices.SortFunc(out, func(a, b Mark) int { return compare(ID{Origin: a.Origin}, ID{Origin: b.Origin}) })
	return out
}

// FromMarks is the set that was kept.
func FromMarks(marks []Mark) Settled {
	s := Settled{map[Origin]span{}}
	for _, m := range marks {
		s.of[m.Origin] = span{m.UpTo, m.Above}
	}
	return s
}

// Log is what an instance has applied of the log: what it decided, and the restriction of each server by it.
type Log interface {
	Settled() Settled
	Agreed(server string) Restriction
}

// Heard is the orders that an instance holds beside the log. One goroutine uses it.
type Heard struct {
	me   Origin
	last uint64 // number of the last order of its own
	open map[ID]Order
}

// NewHeard holds nothing yet. No other process, of this instance or another, may have the same origin.
func NewHeard(me Origin) *Heard { return &Heard{me: me, open: map[ID]Order{}} }

// Give makes an order of this instance's own, which holds here from now on.
func (h *Heard) Give(server string, kind Restriction, force bool) (Order, error) {
	own := 0
	for id := range h.open {
		if id.Origin == h.me {
			own++
		}
	}
	if own >= MaxOpen || len(h.open) >= MaxHeard {
		return Order{}, fmt.Errorf("facts: %d orders wait for the log already", max(own, len(h.open)))
	}
	h.last++
	o := Order{ID{h.me, h.last}, server, kind, force}
	h.open[o.ID] = o
	return o, nil
}

// Hear takes orders that came beside the log, in any order and as often as they come; it tells those that were news.
// What finds no room is not held: it still comes through the log.
func (h *Heard) Hear(log Log, orders ...Order) (news []Order) {
	settled := log.Settled()
	for _, o := range orders {
		if _, known := h.open[o.ID]; known || settled.Has(o.ID) || len(h.open) >= MaxHeard || o.Kind == None || o.Kind > Removed {
			continue
		}
		h.open[o.ID] = o
		news = append(news, o)
	}
	return news
}

// Applied drops what the log has settled; it tells the servers that this concerns.
func (h *Heard) Applied(log Log) (servers []string) {
	settled := log.Settled()
	for id, o := range h.open {
		if settled.Has(id) {
			delete(h.open, id)
			servers = append(servers, o.Server)
		}
	}
	slices.Sort(servers)
	return slices.Compact(servers)
}

// Unsettled are the orders to spread and to propose, oldest of each origin first.
func (h *Heard) Unsettled() []Order {
	return slices.SortedFunc(maps.Values(h.open), func(a, b Order) int { return compare(a.ID, b.ID) })
}

// Held is the restriction of a server as it holds here: the log's joined with what the log has not settled.
func (h *Heard) Held(log Log, server string) Restriction {
	r := log.Agreed(server)
	settled := log.Settled()
	for id, o := range h.open {
		if o.Server == server && !settled.Has(id) {
			r = max(r, o.Kind)
		}
	}
	return r
}
