package tier

import (
	"cmp"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// modelBody is a body as the brute-force model has it.
type modelBody struct {
	id              ID
	class           int
	priorityWeight  float64
	size            int64
	tier            Tier
	moving, arrived bool
	pending         bool
	sentAt          time.Duration
}

// model computes every figure from all bodies anew.
type model struct {
	limits Limits
	bodies map[ID]*modelBody
}

// memory returns the bytes in memory, and those of them that no move is in flight for.
func (m *model) memory() (all, staying int64) {
	for _, b := range m.bodies {
		if b.tier == Memory {
			all += b.size
			if !b.moving {
				staying += b.size
			}
		}
	}
	return all, staying
}

func (m *model) files() (n int64) {
	for _, b := range m.bodies {
		if b.tier == File || b.moving {
			n += b.size
		}
	}
	return n
}

func (m *model) class(c int) (n int64) {
	for _, b := range m.bodies {
		if b.class == c && b.tier == Memory && !b.moving {
			n += b.size
		}
	}
	return n
}

// ids returns the bodies in a fixed order.
func (m *model) ids() (ids []ID) {
	for id := range m.bodies {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// evictionOrder sorts the bodies that may be evicted from memory for one of a class.
func (m *model) evictionOrder(class int) (out []ID) {
	var list []*modelBody
	for _, b := range m.bodies {
		guaranteed := b.class != class && m.class(b.class)-b.size < m.limits.Classes[b.class].GuaranteedBytes
		if b.tier == Memory && b.arrived && !b.pending && b.size > 0 && !guaranteed {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *modelBody) int {
		return cmp.Or(cmp.Compare(a.priorityWeight/float64(a.size), b.priorityWeight/float64(b.size)),
			cmp.Compare(b.sentAt, a.sentAt), cmp.Compare(b.id, a.id))
	})
	for _, b := range list {
		out = append(out, b.id)
	}
	return out
}

// apply follows moves and fails on one that the body's state does not allow.
func (m *model) apply(t *rapid.T, moves []Move, seen map[string]int) {
	t.Helper()
	for _, mv := range moves {
		b := m.bodies[mv.ID]
		if b == nil {
			t.Fatalf("moved %d, which is not stored", mv.ID)
		}
		seen[mv.To.String()+" "+string(mv.Reason)]++
		switch mv.To {
		case File:
			if b.tier != Memory || b.moving {
				t.Fatalf("to a file from %s", b.tier)
			}
			b.moving = true
		case None:
			if !b.arrived || b.pending {
				t.Fatalf("evicted %d, a part of which has yet to be sent", mv.ID)
			}
			delete(m.bodies, mv.ID)
		default:
			t.Fatalf("moved up: %+v", mv)
		}
	}
}
