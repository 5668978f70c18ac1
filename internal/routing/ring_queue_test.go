package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against items that are lost or exchanged as the ring grows and shrinks, and against memory that stays.
func TestRingQueueKeepsOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	var q ringQueue[int]
	var want []int
	for i := range 20_000 {
		grows := i/2000%2 == 0
		if len(want) == 0 || random.IntN(3) < 2 == grows {
			q.push(i)
			want = append(want, i)
		} else if got := q.pop(); got != want[0] {
			t.Fatalf("pop = %d, want %d", got, want[0])
		} else {
			want = want[1:]
		}
		if q.len() != len(want) || len(q.ring) > max(minRing, 4*len(want)) {
			t.Fatalf("%d items in a ring of %d, want %d items", q.len(), len(q.ring), len(want))
		}
	}
	var got []int
	for q.len() > 0 {
		got = append(got, q.pop())
	}
	if !slices.Equal(got, want) {
		t.Errorf("the last items are %v, want %v", got, want)
	}
}
