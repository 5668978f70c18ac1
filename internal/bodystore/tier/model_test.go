package tier

import (
	"cmp"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// modelBody is a body in the brute-force model.
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

// model is a reference for State that computes every result from all bodies each time.
type model struct {
	limits Limits
	bodies map[ID]*modelBody
}

// memory returns the bytes in memory, and those among them whose move to a file is not in flight.
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

// ids returns the IDs of all bodies, sorted.
func (m *model) ids() (ids []ID) {
	for id := range m.bodies {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// evictionOrder returns the bodies that may be evicted from memory for a body of a class, in eviction order.
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

// apply applies moves to the model. It fails the test if the state of a body does not allow its move.
func (m *model) apply(t *rapid.T, moves []Move, seen map[string]int) {
	t.Helper()
	for _, mv := range moves {
		b := m.bodies[mv.ID]
		if b == nil {
			t.Fatalf("moved body %d, which is not stored", mv.ID)
		}
		seen[mv.To.String()+" "+string(mv.Reason)]++
		switch mv.To {
		case File:
			if b.tier != Memory || b.moving {
				t.Fatalf("moved body %d to a file from tier %s (moving: %t), want from memory", mv.ID, b.tier, b.moving)
			}
			b.moving = true
		case None:
			if !b.arrived || b.pending {
				t.Fatalf("evicted body %d with arrived = %t, pending = %t, want true, false", mv.ID, b.arrived,
					b.pending)
			}
			delete(m.bodies, mv.ID)
		default:
			t.Fatalf("move %+v, want to a file or none", mv)
		}
	}
}
