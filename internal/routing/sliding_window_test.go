package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A window's medians, sums and counts are those of the samples that it should hold, and reading a median
// that has just changed sorts nothing: the cost of a read must not grow with what the window holds.
func TestWindowMatchesItsSamples(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	w := newSlidingWindow(time.Second)
	var at []time.Duration
	var values []float64
	now := time.Duration(0)
	for range 5000 {
		now += time.Duration(rng.IntN(int(4 * time.Millisecond)))
		v := float64(rng.IntN(50)) // many twins
		w.add(now, v)
		at, values = append(at, now), append(values, v)
		for at[0] <= now-time.Second {
			at, values = at[1:], values[1:]
		}
		want := slices.Sorted(slices.Values(values))
		middle := (want[(len(want)-1)/2] + want[len(want)/2]) / 2
		if w.median(now, -1) != middle || w.count(now) != len(want) || !slices.Equal(w.sorted, want) {
			t.Fatalf("%v: median %v of %d, want %v of %d", now, w.median(now, -1), w.count(now), middle, len(want))
		}
	}
	if w.median(now+2*time.Second, -1) != -1 || w.count(now+2*time.Second) != 0 || len(w.sorted) != 0 {
		t.Error("old samples stay")
	}
}
