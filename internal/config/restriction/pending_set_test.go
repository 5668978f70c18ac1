package restriction_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	. "linkpass/internal/config/restriction"
	_ "linkpass/internal/testrand"
)

// settledLog is a replicated state in which some requests are settled and no server is restricted.
type settledLog struct{ settled SettledSet }

func (l settledLog) Settled() SettledSet    { return l.settled }
func (settledLog) Restriction(string) Level { return None }

func drawRequests(t *rapid.T) []Request {
	request := rapid.Custom(func(t *rapid.T) Request {
		origin := Origin{
			Instance:    rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "instance"),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		}
		id := ID{Origin: origin, Seq: rapid.Uint64Range(1, 6).Draw(t, "seq")}
		return Request{ID: id, Server: "s", Level: Draining}
	})
	return rapid.SliceOfN(request, 0, 20).Draw(t, "requests")
}

// The pending requests do not depend on the order in which requests are received, on repeated delivery, or on how
// requests interleave with the log. A settled request stays settled even if a copy of it arrives later. A settled set
// is unchanged after it is stored and restored.
func TestPendingSetReceiveIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawRequests(t)
		var l settledLog
		for _, r := range drawRequests(t) {
			l.settled = l.settled.With(r.ID)
		}
		one := NewPendingSet(Origin{Instance: "x", Incarnation: 1})
		other := NewPendingSet(Origin{Instance: "y", Incarnation: 1})
		one.Receive(settledLog{}, all...)
		one.DropSettled(l)
		for _, i := range rapid.Permutation(append(indices(all), indices(all)...)).Draw(t, "other order") {
			other.Receive(l, all[i])
		}
		one.Receive(l, all...)
		a, b := fmt.Sprint(pendingIDs(one)), fmt.Sprint(pendingIDs(other))
		if a != b || one.Effective(l, "s") != other.Effective(l, "s") {
			t.Fatalf("pending %s with restriction %s, in another order %s with %s",
				a, one.Effective(l, "s"), b, other.Effective(l, "s"))
		}
		for _, r := range one.List() {
			if l.settled.Contains(r.ID) {
				t.Fatalf("request %v is pending, but the log has settled it", r)
			}
		}
		restored := NewSettledSet(l.settled.Intervals())
		if fmt.Sprint(restored.Intervals()) != fmt.Sprint(l.settled.Intervals()) {
			t.Fatalf("restored settled set = %v, want %v", restored.Intervals(), l.settled.Intervals())
		}
	})
}

func indices(requests []Request) []int {
	var indices []int
	for i := range requests {
		indices = append(indices, i)
	}
	return indices
}

func pendingIDs(p *PendingSet) []ID {
	var ids []ID
	for _, r := range p.List() {
		ids = append(ids, r.ID)
	}
	return ids
}

// The size of a settled set depends neither on the number of requests nor on that of incarnations. The size of a
// pending set is bounded, whatever other instances send.
func TestSettledAndPendingSetsAreBounded(t *testing.T) {
	var l settledLog
	for incarnation := uint64(1); incarnation <= 100; incarnation++ {
		for seq := uint64(1); seq <= 50; seq++ {
			l.settled = l.settled.With(ID{Origin{"n", incarnation}, seq})
		}
	}
	if intervals := l.settled.Intervals(); len(intervals) != MaxIncarnations || len(intervals[0].Above) != 0 {
		t.Errorf("%d intervals, the first is %+v; want %d intervals with an empty Above",
			len(intervals), intervals[0], MaxIncarnations)
	}
	for _, c := range []struct {
		id   ID
		want bool
	}{
		{ID{Origin{"n", 1}, 7}, true}, // no longer kept: it must not become pending again
		{ID{Origin{"n", 101}, 1}, false},
		{ID{Origin{"other", 1}, 1}, false},
	} {
		if got := l.settled.Contains(c.id); got != c.want {
			t.Errorf("Contains(%s) = %t, want %t", c.id, got, c.want)
		}
	}
	p := NewPendingSet(Origin{"me", 1})
	issued := 0
	for range 2 * MaxPendingOwn {
		_, err := p.Issue("s", Draining, false)
		switch {
		case err == nil:
			issued++
		case !errors.Is(err, ErrTooManyPending):
			t.Fatal(err)
		}
	}
	for seq := range uint64(2 * MaxPending) {
		p.Receive(l, Request{ID: ID{Origin{"other", 1}, seq + 1}, Server: "s", Level: Draining})
	}
	if issued != MaxPendingOwn || len(p.List()) != MaxPending {
		t.Errorf("%d issued and %d pending, want %d and %d", issued, len(p.List()), MaxPendingOwn, MaxPending)
	}
}
