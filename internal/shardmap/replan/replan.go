// Package replan finds the parts that take the place of those whose slice has
// gone: planned on one version of a layout, asked for on a newer one. It is pure.
package replan

import (
	"time"

	"linkpass/internal/shardmap"
)

// MaxRounds is how often what a part asks for may be planned anew.
const MaxRounds = 4

// PartState is where a part stands.
type PartState uint8

// The standings.
const (
	Pending  PartState = iota // nothing of it is out, and it is not in
	InFlight                  // an attempt is out that may still answer
	Answered                  // it is answered
)

// Part is one part of a query, as it was planned.
type Part struct {
	Shard shardmap.ShardID
	Range shardmap.Range // what it asks for: of the slice, or of all that is left of it
	Round int
	State PartState
}

// Plan cuts the wanted ranges, which share no key, along the slices of a version: a part each.
func Plan(l *shardmap.Map, wanted []shardmap.Range) []Part {
	out := make([]Part, 0, len(wanted))
	var r shardmap.Range
	take := func(s shardmap.Shard) bool {
		if both, some := s.Range.Intersect(r); some {
			out = append(out, Part{Shard: s.ID, Range: both})
		}
		return true
	}
	for _, r = range wanted {
		l.ForEach(r, take)
	}
	return out
}

// Change is parts that give way and those that take their place. Both ask for the
// same keys, each once.
type Change struct {
	Drop []int // of the parts given
	Add  []Part
}

// Reason is why a part stays as it is.
type Reason string

// The refusals.
const (
	Replanned        Reason = ""
	AlreadyAnswered  Reason = "answered"   // nothing to plan
	NoNewerMap       Reason = "unknown"    // the layout is no newer than what the part was planned on, or is gone
	RoundsExhausted  Reason = "spent"      // it has had its rounds
	DeadlineTooClose Reason = "no_time"    // a new attempt could not end in time
	RangeNotServed   Reason = "incoherent" // the layout does not serve the range
)

// Replan plans part i anew on a version in which its slice no longer serves. left is
// the time that the query still has, need what an attempt takes at the least.
//
// The range is cut along the slices that serve it now: the least number of parts that
// can ask for it. A waiting sibling whose own slice is gone too joins a neighbour that goes
// to the same slice: one attempt in place of two. A sibling that is in or out is kept,
// since asking for its keys again costs an attempt and keeping it costs none.
func Replan(now *shardmap.Map, parts []Part, i int, left, need time.Duration) (Change, Reason) {
	p := parts[i]
	if now != nil {
		if s, ok := now.Shard(p.Shard); ok && s.Range.Covers(p.Range) {
			return Change{}, NoNewerMap
		}
	}
	c, why := Remaining(now, parts, i, []shardmap.Range{p.Range}, left, need)
	if why != Replanned {
		return Change{}, why
	}
	for k, sibling := range parts {
		if k != i && sibling.State == Pending && sibling.Round < MaxRounds {
			c.join(now, k, sibling)
		}
	}
	return c, Replanned
}

// Remaining plans anew what is left of part i once a piece of it is answered, or all of it: its
// slice may serve still, and another holder may have the rest.
func Remaining(now *shardmap.Map, parts []Part, i int, rest []shardmap.Range, left, need time.Duration) (Change, Reason) {
	p := parts[i]
	switch {
	case p.State == Answered:
		return Change{}, AlreadyAnswered
	case now == nil:
		return Change{}, NoNewerMap
	case p.Round >= MaxRounds:
		return Change{}, RoundsExhausted
	case left <= need:
		return Change{}, DeadlineTooClose
	}
	c := Change{Drop: []int{i}, Add: Plan(now, rest)}
	for k := range c.Add {
		c.Add[k].Round = p.Round + 1
	}
	for _, r := range rest {
		if !covers(c.Add, r) {
			return Change{}, RangeNotServed
		}
	}
	return c, Replanned
}

// covers tells whether parts, in order of keys, ask for all of a range.
func covers(parts []Part, r shardmap.Range) bool {
	next := r.First
	for _, p := range parts {
		if p.Range.First != next {
			continue
		}
		if p.Range.Last == r.Last {
			return true
		}
		next = p.Range.Last + 1
	}
	return false
}

// join takes a waiting sibling along, if all of it lies beside a new part in one slice.
func (c *Change) join(now *shardmap.Map, k int, sibling Part) {
	for a := range c.Add {
		target, ok := now.Shard(c.Add[a].Shard)
		if !ok || !target.Range.Covers(sibling.Range) {
			continue
		}
		r := &c.Add[a].Range
		switch {
		case r.Last != ^uint64(0) && sibling.Range.First == r.Last+1:
			r.Last = sibling.Range.Last
		case r.First != 0 && sibling.Range.Last == r.First-1:
			r.First = sibling.Range.First
		default:
			continue
		}
		c.Add[a].Round = max(c.Add[a].Round, sibling.Round+1)
		c.Drop = append(c.Drop, k)
		return
	}
}
