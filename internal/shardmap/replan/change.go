package replan

import (
	"math"

	"linkpass/internal/shardmap"
)

// Change lists the parts to drop and the parts that replace them. Add requests every key that Drop leaves
// unanswered, each key once.
type Change struct {
	Drop []int // indices into the parts that were passed in
	Add  []Part
}

// mergeSibling drops a pending sibling and extends a new part by its keys, if these are adjacent to the new
// part's keys and all in the new part's shard. Otherwise it changes nothing.
func (c *Change) mergeSibling(m *shardmap.Map, index int, sibling Part) {
	for i := range c.Add {
		added := &c.Add[i]
		target, ok := m.Shard(added.Shard)
		if !ok || !target.Range.Covers(sibling.Range) {
			continue
		}
		r := &added.Range
		switch {
		case r.Last != math.MaxUint64 && sibling.Range.First == r.Last+1:
			r.Last = sibling.Range.Last
		case r.First != 0 && sibling.Range.Last == r.First-1:
			r.First = sibling.Range.First
		default:
			continue
		}
		added.Round = max(added.Round, sibling.Round+1)
		c.Drop = append(c.Drop, index)
		return
	}
}
