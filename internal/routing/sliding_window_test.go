package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a median or count that drifts from the samples in the window, as the sorted list is updated
// incrementally. The test compares both with values computed from scratch after every sample.
func TestSlidingWindowMatchesItsSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	w := newSlidingWindow(time.Second)
	var at []time.Duration
	var values []float64
	now := time.Duration(0)
	for range 5000 {
		now += time.Duration(random.IntN(int(4 * time.Millisecond)))
		v := float64(random.IntN(50)) // many equal values
		w.add(now, v)
		at, values = append(at, now), append(values, v)
		for at[0] <= now-time.Second {
			at, values = at[1:], values[1:]
		}
		want := slices.Sorted(slices.Values(values))
		middle := (want[(len(want)-1)/2] + want[len(want)/2]) / 2
		if w.median(now, -1) != middle || w.count(now) != len(want) || !slices.Equal(w.sorted, want) {
			t.Fatalf("at %v: median, count = %v, %d; want %v, %d",
				now, w.median(now, -1), w.count(now), middle, len(want))
		}
	}
	if w.median(now+2*time.Second, -1) != -1 || w.count(now+2*time.Second) != 0 || len(w.sorted) != 0 {
		t.Error("window still holds samples older than its span")
	}
}

func TestSlidingWindowMedianDropsOldSamples(t *testing.T) {
	w := newSlidingWindow(10 * time.Second)
	for i, value := range []float64{5, 1, 3, 100} {
		w.add(time.Duration(i)*time.Second, value)
	}
	if median := w.median(4*time.Second, 0); median != 4 {
		t.Errorf("median = %v, want 4", median)
	}
	if median, count := w.median(11*time.Second, 0), w.count(11*time.Second); median != 51.5 || count != 2 {
		t.Errorf("after two samples expired: median, count = %v, %d; want 51.5, 2", median, count)
	}
	if median := w.median(time.Minute, 7); median != 7 {
		t.Errorf("median of an empty window = %v, want the fallback 7", median)
	}
}

// Guards against memory and work that grow with the number of samples in the span (issue 55).
func TestSlidingWindowIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	w := newSlidingWindow(10 * time.Second)
	for i := range 20 * maxSamples {
		w.add(time.Duration(i)*time.Microsecond, random.Float64())
	}
	if got := w.samples.len(); got != maxSamples || len(w.sorted) != maxSamples {
		t.Errorf("%d samples and %d sorted values, want %d", got, len(w.sorted), maxSamples)
	}
	if got := w.count(time.Second); got != 20*maxSamples {
		t.Errorf("count = %d, want all %d samples that were taken", got, 20*maxSamples)
	}
	if median := w.median(time.Second, -1); median < 0.45 || median > 0.55 {
		t.Errorf("median = %v, want about 0.5", median)
	}
}

// Guards against samples that are lost or left behind when many of them expire at once, and against memory that stays.
func TestSlidingWindowDropsManySamplesAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	w := newSlidingWindow(10 * time.Second)
	var late []float64
	for i := range maxSamples {
		value := float64(random.IntN(500)) // many equal values
		if i < maxSamples-100 {
			w.add(0, value)
			continue
		}
		late = append(late, value)
		w.add(5*time.Second, value)
	}
	slices.Sort(late)
	if got := w.count(10 * time.Second); got != len(late) || !slices.Equal(w.sorted, late) {
		t.Errorf("%d samples left, want the %d later ones", got, len(late))
	}
	if room := max(cap(w.sorted), len(w.samples.ring)); room > 8*len(late) {
		t.Errorf("room for %d samples is kept for %d", room, len(late))
	}
}
