package tier

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// twin is a body as the brute-force model has it.
type twin struct {
	id            ID
	class         int
	worth         float64
	size          int64
	tier          Tier
	moving, whole bool
	waiting       bool
	sent          time.Duration
}

type model struct {
	limits Limits
	bodies map[ID]*twin
}

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

// firsts sorts those that may be dropped from memory as they give way, by looking at all of them.
func (m *model) firsts(cause int) (out []ID) {
	var list []*twin
	for _, b := range m.bodies {
		floored := b.class != cause && m.class(b.class)-b.size < m.limits.Classes[b.class].Floor
		if b.tier == Memory && b.whole && !b.waiting && b.size > 0 && !floored {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *twin) int {
		return cmp.Or(cmp.Compare(a.worth/float64(a.size), b.worth/float64(b.size)), cmp.Compare(b.sent, a.sent), cmp.Compare(b.id, a.id))
	})
	for _, b := range list {
		out = append(out, b.id)
	}
	return out
}

// take follows moves and holds each to what may be done with a body.
func (m *model) take(t *rapid.T, moves []Move, seen map[string]int) {
	for _, mv := range moves {
		b := m.bodies[mv.ID]
		if b == nil {
			t.Fatalf("moved %d, which is not held", mv.ID)
		}
		seen[mv.To.String()+" "+mv.Why]++
		switch mv.To {
		case File:
			if b.tier != Memory || b.moving {
				t.Fatalf("to a file from %s", b.tier)
			}
			b.moving = true
		case None:
			if !b.whole || b.waiting {
				t.Fatalf("dropped %d, a part of which is yet to be written", mv.ID)
			}
			delete(m.bodies, mv.ID)
		default:
			t.Fatalf("moved up: %+v", mv)
		}
	}
}

// Any sequence of events keeps the budgets and floors, moves bodies down only, and gives up none
// that is yet to be written; without files the one dropped is the one that a look at all finds.
func TestTiersAgreeWithAModel(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Memory: 1000, Files: rapid.SampledFrom([]int64{0, 1500}).Draw(t, "files"), Largest: 400,
			Classes: []Class{{Floor: 200}, {Share: 0.6}}}
		s, m := New(limits), &model{limits: limits, bodies: map[ID]*twin{}}
		next := ID(0)
		now := time.Duration(0)
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			now += time.Millisecond
			var ids []ID
			for id := range m.bodies {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			pick := func() *twin {
				if len(ids) == 0 {
					return nil
				}
				return m.bodies[rapid.SampledFrom(ids).Draw(t, "id")]
			}
			switch kind := rapid.IntRange(0, 7).Draw(t, "event"); kind {
			case 0, 1:
				next++
				b := &twin{id: next, class: rapid.IntRange(0, 1).Draw(t, "class"), worth: float64(rapid.IntRange(1, 3).Draw(t, "worth")), waiting: true}
				m.bodies[next] = b
				s.Open(next, b.class, b.worth)
				n := int64(rapid.IntRange(1, 300).Draw(t, "n"))
				grow(t, s, m, b, n, seen)
			case 2:
				if b := pick(); b != nil && !b.whole {
					grow(t, s, m, b, int64(rapid.IntRange(1, 300).Draw(t, "more")), seen)
				}
			case 3, 4:
				if b := pick(); b != nil {
					b.whole = true
					s.Whole(b.id)
					b.waiting, b.sent = false, now
					m.take(t, s.Written(b.id, now), seen)
				}
			case 5:
				if b := pick(); b != nil {
					b.waiting = true
					s.Waits(b.id)
				}
			case 6:
				if b := pick(); b != nil {
					delete(m.bodies, b.id)
					s.Free(b.id)
				}
			case 7:
				if b := pick(); b != nil && b.moving {
					ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
					b.moving = false
					if ok {
						b.tier = File
					}
					m.take(t, s.Filed(b.id, ok), seen)
				}
			}
			all, _ := m.memory()
			if s.Used(Memory) != all || s.Used(File) != m.files() || s.Held() != len(m.bodies) {
				t.Fatalf("used %d and %d of %d bodies, the model has %d, %d, %d", s.Used(Memory), s.Used(File), s.Held(), all, m.files(), len(m.bodies))
			}
			if m.files() > limits.Files {
				t.Fatalf("%d bytes in files", m.files())
			}
		}
	})
	for _, what := range []string{"file " + WhySize, "file " + WhyRoom, "none " + WhyRoom, "none " + WhySize, "none " + WhyShare, "refused"} {
		if seen[what] == 0 {
			t.Errorf("no run shows %q: %v", what, seen)
		}
	}
}

// grow lets bytes arrive, and holds what gives way to the model.
func grow(t *rapid.T, s *State, m *model, b *twin, n int64, seen map[string]int) {
	b.size += n
	want := m.firsts(b.class)
	floors := [2]int64{m.class(0), m.class(1)}
	moves, room := s.Grow(b.id, n)
	if m.limits.Files == 0 && len(moves) > 0 && moves[0].Why == WhyRoom && (len(want) == 0 || moves[0].ID != want[0]) {
		t.Fatalf("dropped %d first, want %v", moves[0].ID, want)
	}
	m.take(t, moves, seen)
	if !room {
		seen["refused"]++
		delete(m.bodies, b.id)
	}
	all, staying := m.memory()
	if room && (staying > m.limits.Memory || float64(all) > (1+slack)*float64(m.limits.Memory)) {
		t.Fatalf("%d bytes in memory, %d of them to stay", all, staying)
	}
	for c, limit := range m.limits.Classes {
		if c != b.class && m.class(c) < min(limit.Floor, floors[c]) {
			t.Fatalf("class %d fell from %d to %d, its floor is %d", c, floors[c], m.class(c), limit.Floor)
		}
	}
}
