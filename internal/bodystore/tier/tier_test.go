package tier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// For any sequence of events, limits and guarantees hold, bodies only move to later tiers and no pending body is
// evicted. Without files, the first body evicted is the one that the model finds by comparing all bodies.
func TestStateAgreesWithModel(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Memory: 1000, Files: rapid.SampledFrom([]int64{0, 1500}).Draw(t, "files"),
			MaxMemoryBodySize: 400, Classes: []ClassLimits{{GuaranteedBytes: 200}, {MaxMemoryShare: 0.6}}}
		c := &comparison{t: t, state: New(limits), model: &model{limits: limits, bodies: map[ID]*modelBody{}}, seen: seen}
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			c.now += time.Millisecond
			c.randomEvent()
			c.check()
		}
	})
	for _, outcome := range []string{
		"file " + string(ReasonTooLarge), "file " + string(ReasonNoCapacity), "none " + string(ReasonNoCapacity),
		"none " + string(ReasonTooLarge), "none " + string(ReasonClassShare), "rejected",
	} {
		if seen[outcome] == 0 {
			t.Errorf("no run had %q; moves and rejections seen: %v", outcome, seen)
		}
	}
}

// comparison applies the same events to the State and to the model.
type comparison struct {
	t      *rapid.T
	state  *State
	model  *model
	seen   map[string]int // number of moves by tier and reason, and of rejections, in all runs
	lastID ID
	now    time.Duration
}

// randomEvent adds a body or applies a random event to one of the stored bodies.
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
		c.addBody()
	} else if b := pick(); b != nil {
		c.applyEvent(kind, b)
	}
}

func (c *comparison) applyEvent(kind int, b *modelBody) {
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

func (c *comparison) addBody() {
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

// grow lets n bytes of a body arrive and compares the moves with the model.
func (c *comparison) grow(b *modelBody, n int64) {
	c.t.Helper()
	m := c.model
	b.size += n
	want := m.evictionOrder(b.class)
	before := [2]int64{m.class(0), m.class(1)}
	moves, hasCapacity := c.state.Grow(b.id, n)
	if m.limits.Files == 0 && len(moves) > 0 && moves[0].Reason == ReasonNoCapacity && (len(want) == 0 || moves[0].ID != want[0]) {
		c.t.Fatalf("evicted body %d first, want the first of %v", moves[0].ID, want)
	}
	m.apply(c.t, moves, c.seen)
	if !hasCapacity {
		c.seen["rejected"]++
		delete(m.bodies, b.id)
	}
	all, staying := m.memory()
	if hasCapacity && (staying > m.limits.Memory || float64(all) > (1+memoryOvercommit)*float64(m.limits.Memory)) {
		c.t.Fatalf("%d bytes in memory, %d of them without a move in flight, limit = %d", all, staying,
			m.limits.Memory)
	}
	for class, limit := range m.limits.Classes {
		if class != b.class && m.class(class) < min(limit.GuaranteedBytes, before[class]) {
			c.t.Fatalf("class %d has %d bytes in memory after %d, guaranteed are %d", class, m.class(class), before[class],
				limit.GuaranteedBytes)
		}
	}
}

// check compares the usage of the State with that of the model.
func (c *comparison) check() {
	c.t.Helper()
	s, m := c.state, c.model
	all, _ := m.memory()
	if s.Used(Memory) != all || s.Used(File) != m.files() || s.Len() != len(m.bodies) {
		c.t.Fatalf("memory, files, bodies = %d, %d, %d, want %d, %d, %d",
			s.Used(Memory), s.Used(File), s.Len(), all, m.files(), len(m.bodies))
	}
	if m.files() > m.limits.Files {
		c.t.Fatalf("%d bytes in files, limit = %d", m.files(), m.limits.Files)
	}
}
