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

// Part is one part of a query: a request to the shard that served its keys when it was planned.
type Part struct {
	Shard shardmap.ShardID
	Range shardmap.Range // the keys that it requests: all that the query needs of the shard, or those still missing
	Round int            // how many times its keys were replanned
	State PartState
}

// Plan divides ranges into parts on a version of the shard map: one part for each range and each shard that
// serves keys of it. The ranges must not share a key.
func Plan(m *shardmap.Map, ranges []shardmap.Range) []Part {
	parts := make([]Part, 0, len(ranges))
	var requested shardmap.Range
	// All ranges share one closure, since one per range would cost an allocation each.
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

// coversRange reports whether parts, given in key order, request every key of a range.
func coversRange(parts []Part, r shardmap.Range) bool {
	nextKey := r.First
	for _, p := range parts {
		if p.Range.First != nextKey {
			continue
		}
		if p.Range.Last == r.Last {
			return true
		}
		nextKey = p.Range.Last + 1
	}
	return false
}
