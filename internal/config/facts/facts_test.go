package facts_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	. "linkpass/internal/config/facts"
	_ "linkpass/internal/seeded"
)

// log is a settled set and no agreement.
type log struct{ settled Settled }

func (l log) Settled() Settled        { return l.settled }
func (log) Agreed(string) Restriction { return None }

func orders(t *rapid.T) []Order {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Order {
		return Order{ID: ID{Origin{rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "instance"), rapid.Uint64Range(1, 3).Draw(t, "boot")}, rapid.Uint64Range(1, 6).Draw(t, "seq")},
			Server: "s", Kind: Draining}
	}), 0, 20).Draw(t, "orders")
}

// What is held does not depend on the order, the repetition or the interleaving with the log in which orders come; what was
// settled stays so, whatever comes late, and a settled set is small where numbers follow each other.
func TestHearingIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := orders(t)
		var l log
		for _, o := range orders(t) {
			l.settled = l.settled.With(o.ID)
		}
		one, other := NewHeard(Origin{"x", 1}), NewHeard(Origin{"y", 1})
		one.Hear(log{}, all...)
		one.Applied(l)
		for _, i := range rapid.Permutation(append(index(all), index(all)...)).Draw(t, "other order") {
			other.Hear(l, all[i])
		}
		one.Hear(l, all...)
		if a, b := fmt.Sprint(ids(one)), fmt.Sprint(ids(other)); a != b || one.Held(l, "s") != other.Held(l, "s") {
			t.Fatalf("%s, %s", a, b)
		}
		for _, o := range one.Unsettled() {
			if l.settled.Has(o.ID) {
				t.Fatalf("%v is settled and open", o)
			}
		}
		if kept := FromMarks(l.settled.Marks()); fmt.Sprint(kept.Marks()) != fmt.Sprint(l.settled.Marks()) {
			t.Fatal("a settled set is not what was kept")
		}
	})
}

func index(all []Order) (out []int) {
	for i := range all {
		out = append(out, i)
	}
	return out
}

func ids(h *Heard) (out []ID) {
	for _, o := range h.Unsettled() {
		out = append(out, o.ID)
	}
	return out
}

// Nothing grows with time: neither with orders, nor with processes, nor with what others send.
func TestFactsAreBounded(t *testing.T) {
	var l log
	for boot := uint64(1); boot <= 100; boot++ {
		for seq := uint64(1); seq <= 50; seq++ {
			l.settled = l.settled.With(ID{Origin{"n", boot}, seq})
		}
	}
	if marks := l.settled.Marks(); len(marks) != MaxBoots || len(marks[0].Above) != 0 {
		t.Errorf("%d processes, %+v", len(marks), marks[0])
	}
	if !l.settled.Has(ID{Origin{"n", 1}, 7}) || l.settled.Has(ID{Origin{"n", 101}, 1}) || l.settled.Has(ID{Origin{"other", 1}, 1}) {
		t.Error("an old process's orders came back, or a new one's are settled")
	}
	h := NewHeard(Origin{"me", 1})
	given := 0
	for range 2 * MaxOpen {
		if _, err := h.Give("s", Draining, false); err == nil {
			given++
		}
	}
	for seq := range uint64(2 * MaxHeard) {
		h.Hear(l, Order{ID: ID{Origin{"other", 1}, seq + 1}, Server: "s", Kind: Draining})
	}
	if given != MaxOpen || len(h.Unsettled()) != MaxHeard {
		t.Errorf("%d given, %d held", given, len(h.Unsettled()))
	}
}
