package replan

import (
	"math"

	"linkpass/internal/shardmap"
)

// Change is parts that are dropped and those that replace them. Both request the same
// keys, each key once.
type Change struct {
	Drop []int // indices of the parts given
	Add  []Part
}

// mergeSibling drops a pending sibling, and lets a new part request its keys too, if all of
// them are adjacent to the new part's and in the same shard.
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
