package restriction_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	. "linkpass/internal/config/restriction"
	_ "linkpass/internal/seeded"
)

// settledLog is a settled set and no agreement.
type settledLog struct{ settled SettledSet }

func (l settledLog) Settled() SettledSet    { return l.settled }
func (settledLog) Restriction(string) Level { return None }

func drawRequests(t *rapid.T) []Request {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Request {
		return Request{ID: ID{Origin{rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "instance"), rapid.Uint64Range(1, 3).Draw(t, "incarnation")}, rapid.Uint64Range(1, 6).Draw(t, "seq")},
			Server: "s", Level: Draining}
	}), 0, 20).Draw(t, "orders")
}

// What is held does not depend on the order, the repetition or the interleaving with the log in which orders come; what was
// settled stays so, whatever comes late, and a settled set is small where numbers follow each other.
func TestReceiveIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawRequests(t)
		var l settledLog
		for _, o := range drawRequests(t) {
			l.settled = l.settled.With(o.ID)
		}
		one, other := NewPendingSet(Origin{"x", 1}), NewPendingSet(Origin{"y", 1})
		one.Receive(settledLog{}, all...)
		one.DropSettled(l)
		for _, i := range rapid.Permutation(append(indices(all), indices(all)...)).Draw(t, "other order") {
			other.Receive(l, all[i])
		}
		one.Receive(l, all...)
		if a, b := fmt.Sprint(pendingIDs(one)), fmt.Sprint(pendingIDs(other)); a != b || one.Effective(l, "s") != other.Effective(l, "s") {
			t.Fatalf("%s, %s", a, b)
		}
		for _, o := range one.List() {
			if l.settled.Contains(o.ID) {
				t.Fatalf("%v is settled and open", o)
			}
		}
		if kept := NewSettledSet(l.settled.Intervals()); fmt.Sprint(kept.Intervals()) != fmt.Sprint(l.settled.Intervals()) {
			t.Fatal("a settled set is not what was kept")
		}
	})
}

func indices(all []Request) (out []int) {
	for i := range all {
		out = append(out, i)
	}
	return out
}

func pendingIDs(h *PendingSet) (out []ID) {
	for _, o := range h.List() {
		out = append(out, o.ID)
	}
	return out
}

// Nothing grows with time: neither with orders, nor with processes, nor with what others send.
func TestSetsAreBounded(t *testing.T) {
	var l settledLog
	for incarnation := uint64(1); incarnation <= 100; incarnation++ {
		for seq := uint64(1); seq <= 50; seq++ {
			l.settled = l.settled.With(ID{Origin{"n", incarnation}, seq})
		}
	}
	if intervals := l.settled.Intervals(); len(intervals) != MaxIncarnations || len(intervals[0].Above) != 0 {
		t.Errorf("%d processes, %+v", len(intervals), intervals[0])
	}
	if !l.settled.Contains(ID{Origin{"n", 1}, 7}) || l.settled.Contains(ID{Origin{"n", 101}, 1}) || l.settled.Contains(ID{Origin{"other", 1}, 1}) {
		t.Error("an old process's orders came back, or a new one's are settled")
	}
	h := NewPendingSet(Origin{"me", 1})
	issued := 0
	for range 2 * MaxPendingOwn {
		if _, err := h.Issue("s", Draining, false); err == nil {
			issued++
		}
	}
	for seq := range uint64(2 * MaxPending) {
		h.Receive(l, Request{ID: ID{Origin{"other", 1}, seq + 1}, Server: "s", Level: Draining})
	}
	if issued != MaxPendingOwn || len(h.List()) != MaxPending {
		t.Errorf("%d issued, %d held", issued, len(h.List()))
	}
}
