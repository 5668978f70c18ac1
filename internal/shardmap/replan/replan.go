package replan

import (
	"time"

	"linkpass/internal/shardmap"
)

// MaxRounds is how many times the keys of a part may be replanned.
const MaxRounds = 4

// Reason tells why a part was not replanned. Its values are part of counter names.
type Reason string

// The reasons.
const (
	Replanned        Reason = ""           // no reason: the part was replanned
	AlreadyAnswered  Reason = "answered"   // there is nothing to request
	NoNewerMap       Reason = "unknown"    // the index has no map, or none newer than the one the part was planned on
	RoundsExhausted  Reason = "spent"      // it was replanned MaxRounds times
	DeadlineTooClose Reason = "no_time"    // another attempt could not finish in time
	RangeNotServed   Reason = "incoherent" // the map has no shard for some of the keys
)

// Replan replaces the part at index i on a version of the map in which its shard no longer serves. remaining is
// the time that the query has left, required the minimum duration of an attempt.
//
// The part's range is divided along the shards that serve it now, which gives the smallest number of parts. A
// pending sibling is merged into an adjacent new part if the new part's shard now serves all of the sibling's
// keys: one attempt instead of two. A sibling that is in flight or answered is kept, since requesting its keys
// again costs an attempt and keeping it costs none.
func Replan(m *shardmap.Map, parts []Part, i int, remaining, required time.Duration) (Change, Reason) {
	p := parts[i]
	if m != nil {
		if s, ok := m.Shard(p.Shard); ok && s.Range.Covers(p.Range) {
			return Change{}, NoNewerMap
		}
	}
	change, reason := ReplaceMissing(m, parts, i, []shardmap.Range{p.Range}, remaining, required)
	if reason != Replanned {
		return Change{}, reason
	}
	for k, sibling := range parts {
		if k != i && sibling.State == Pending && sibling.Round < MaxRounds {
			change.mergeSibling(m, k, sibling)
		}
	}
	return change, Replanned
}

// ReplaceMissing replaces the part at index i by parts for the ranges of it that are missing, after a partial answer
// or none. Its shard may still serve: another replica may have the rest. remaining and required are as in Replan.
func ReplaceMissing(
	m *shardmap.Map, parts []Part, i int, missing []shardmap.Range, remaining, required time.Duration,
) (Change, Reason) {
	p := parts[i]
	switch {
	case p.State == Answered:
		return Change{}, AlreadyAnswered
	case m == nil:
		return Change{}, NoNewerMap
	case p.Round >= MaxRounds:
		return Change{}, RoundsExhausted
	case remaining <= required:
		return Change{}, DeadlineTooClose
	}
	change := Change{Drop: []int{i}, Add: Plan(m, missing)}
	for k := range change.Add {
		change.Add[k].Round = p.Round + 1
	}
	for _, r := range missing {
		if !coversRange(change.Add, r) {
			return Change{}, RangeNotServed
		}
	}
	return change, Replanned
}
