package replan

import "linkpass/internal/shardmap"

// PartState is the state of a part.
type PartState uint8

// The states of a part.
const (
	Pending  PartState = iota // not answered, and no attempt is in flight
	InFlight                  // an attempt is in flight that may still be answered
	Answered
)

// Part is one part of a query, as it was planned: a request to one shard.
type Part struct {
	Shard shardmap.ShardID
	Range shardmap.Range // the keys that it requests: of the shard, or what remains of them
	Round int            // how many times its keys were replanned
	State PartState
}

// Plan divides ranges that share no key into parts, one for each shard of a version and range.
func Plan(m *shardmap.Map, ranges []shardmap.Range) []Part {
	parts := make([]Part, 0, len(ranges))
	var requested shardmap.Range
	// One closure for all ranges: one for each would be an allocation for each.
	addPart := func(s shardmap.Shard) bool {
		if common, ok := s.Range.Intersect(requested); ok {
			parts = append(parts, Part{Shard: s.ID, Range: common})
		}
		return true
	}
	for _, requested = range ranges {
		m.ForEach(requested, addPart)
	}
	return parts
}

// cover reports whether parts in key order request all of a range.
func cover(parts []Part, r shardmap.Range) bool {
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
