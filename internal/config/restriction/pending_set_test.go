package restriction_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	. "linkpass/internal/config/restriction"
	_ "linkpass/internal/testrand"
)

// settledLog is a replicated state that settled some requests and restricts no server.
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

// The pending requests do not depend on the order, the repetition or the interleaving with the log in which
// requests are received; what was settled stays settled, however late a copy is; and a settled set survives its
// stored form.
func TestReceiveIsIndependentOfOrder(t *testing.T) {
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
			t.Fatalf("%s, %s", a, b)
		}
		for _, r := range one.List() {
			if l.settled.Contains(r.ID) {
				t.Fatalf("%v is settled and pending", r)
			}
		}
		restored := NewSettledSet(l.settled.Intervals())
		if fmt.Sprint(restored.Intervals()) != fmt.Sprint(l.settled.Intervals()) {
			t.Fatal("a restored settled set differs")
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

// A settled set grows neither with requests nor with incarnations; a pending set is bounded, whatever others send.
func TestSetsAreBounded(t *testing.T) {
	var l settledLog
	for incarnation := uint64(1); incarnation <= 100; incarnation++ {
		for seq := uint64(1); seq <= 50; seq++ {
			l.settled = l.settled.With(ID{Origin{"n", incarnation}, seq})
		}
	}
	if intervals := l.settled.Intervals(); len(intervals) != MaxIncarnations || len(intervals[0].Above) != 0 {
		t.Errorf("%d incarnations, %+v", len(intervals), intervals[0])
	}
	for _, c := range []struct {
		id   ID
		want bool
	}{
		{ID{Origin{"n", 1}, 7}, true}, // forgotten: it must not come back
		{ID{Origin{"n", 101}, 1}, false},
		{ID{Origin{"other", 1}, 1}, false},
	} {
		if got := l.settled.Contains(c.id); got != c.want {
			t.Errorf("%s settled: %t, want %t", c.id, got, c.want)
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
		t.Errorf("%d issued, %d pending", issued, len(p.List()))
	}
}
