package tier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// Any sequence of events keeps limits and guarantees, moves bodies down only and evicts no pending one;
// without files the body evicted is the one that the model finds by comparing all.
func TestStateAgreesWithModel(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Memory: 1000, Files: rapid.SampledFrom([]int64{0, 1500}).Draw(t, "files"), Largest: 400,
			Classes: []Class{{GuaranteedBytes: 200}, {MaxMemoryShare: 0.6}}}
		c := &comparison{t: t, state: New(limits), model: &model{limits: limits, bodies: map[ID]*modelBody{}}, seen: seen}
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			c.now += time.Millisecond
			c.randomEvent()
			c.check()
		}
	})
	for _, what := range []string{
		"file " + string(ReasonTooLarge), "file " + string(ReasonNoCapacity), "none " + string(ReasonNoCapacity),
		"none " + string(ReasonTooLarge), "none " + string(ReasonClassShare), "rejected",
	} {
		if seen[what] == 0 {
			t.Errorf("no run shows %q: %v", what, seen)
		}
	}
}

// comparison plays the same events on the state and on the model.
type comparison struct {
	t      *rapid.T
	state  *State
	model  *model
	seen   map[string]int
	lastID ID
	now    time.Duration
}

// randomEvent plays an event on a body drawn from those stored.
func (c *comparison) randomEvent() {
	ids := c.model.ids()
	pick := func() *modelBody {
		if len(ids) == 0 {
			return nil
		}
		return c.model.bodies[rapid.SampledFrom(ids).Draw(c.t, "id")]
	}
	kind := rapid.IntRange(0, 7).Draw(c.t, "event")
	if kind <= 1 {
		c.add()
	} else if b := pick(); b != nil {
		c.event(kind, b)
	}
}

func (c *comparison) event(kind int, b *modelBody) {
	switch kind {
	case 2:
		if !b.arrived {
			c.grow(b, int64(rapid.IntRange(1, 300).Draw(c.t, "more")))
		}
	case 3, 4:
		b.arrived = true
		c.state.MarkArrived(b.id)
		b.pending, b.sentAt = false, c.now
		c.model.apply(c.t, c.state.MarkSent(b.id, c.now), c.seen)
	case 5:
		b.pending = true
		c.state.MarkPending(b.id)
	case 6:
		delete(c.model.bodies, b.id)
		c.state.Remove(b.id)
	case 7:
		if b.moving {
			c.finishMove(b)
		}
	}
}

func (c *comparison) add() {
	c.lastID++
	b := &modelBody{id: c.lastID, class: rapid.IntRange(0, 1).Draw(c.t, "class"),
		priorityWeight: float64(rapid.IntRange(1, 3).Draw(c.t, "weight")), pending: true}
	c.model.bodies[b.id] = b
	c.state.Add(b.id, b.class, b.priorityWeight)
	c.grow(b, int64(rapid.IntRange(1, 300).Draw(c.t, "n")))
}

func (c *comparison) finishMove(b *modelBody) {
	written := rapid.IntRange(0, 3).Draw(c.t, "written") > 0
	b.moving = false
	if written {
		b.tier = File
	}
	c.model.apply(c.t, c.state.FinishMove(b.id, written), c.seen)
}

// grow lets bytes arrive and compares what is evicted with the model.
func (c *comparison) grow(b *modelBody, n int64) {
	c.t.Helper()
	m := c.model
	b.size += n
	want := m.evictionOrder(b.class)
	before := [2]int64{m.class(0), m.class(1)}
	moves, hasCapacity := c.state.Grow(b.id, n)
	if m.limits.Files == 0 && len(moves) > 0 && moves[0].Reason == ReasonNoCapacity && (len(want) == 0 || moves[0].ID != want[0]) {
		c.t.Fatalf("evicted %d first, want %v", moves[0].ID, want)
	}
	m.apply(c.t, moves, c.seen)
	if !hasCapacity {
		c.seen["rejected"]++
		delete(m.bodies, b.id)
	}
	all, staying := m.memory()
	if hasCapacity && (staying > m.limits.Memory || float64(all) > (1+memoryOvercommit)*float64(m.limits.Memory)) {
		c.t.Fatalf("%d bytes in memory, %d of them to stay", all, staying)
	}
	for class, limit := range m.limits.Classes {
		if class != b.class && m.class(class) < min(limit.GuaranteedBytes, before[class]) {
			c.t.Fatalf("class %d fell from %d to %d, %d are guaranteed", class, before[class], m.class(class), limit.GuaranteedBytes)
		}
	}
}

// check compares the figures of state and model.
func (c *comparison) check() {
	c.t.Helper()
	s, m := c.state, c.model
	all, _ := m.memory()
	if s.Used(Memory) != all || s.Used(File) != m.files() || s.Len() != len(m.bodies) {
		c.t.Fatalf("used %d and %d of %d bodies, the model has %d, %d, %d",
			s.Used(Memory), s.Used(File), s.Len(), all, m.files(), len(m.bodies))
	}
	if m.files() > m.limits.Files {
		c.t.Fatalf("%d bytes in files", m.files())
	}
}
