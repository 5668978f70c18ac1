package routing

import (
	"slices"
	"time"
)

const (
	// maxSamples is the maximum number of samples in a slidingWindow; beyond it the oldest are dropped early.
	maxSamples = 1 << 14

	// Trimming more samples than this at once goes through the sorted values once, instead of once for each
	// sample.
	maxSingleRemovals = 16

	// minSorted is the smallest capacity to which the sorted values are shrunk.
	minSorted = 64
)

// slidingWindow returns the number of the samples that were taken in the last span of time, and the median of
// the latest maxSamples of them. An addition or a removal costs at most a move of the sorted values, however
// many samples there were before.
type slidingWindow struct {
	span    time.Duration
	samples ringQueue[sample] // oldest first
	sorted  []float64         // the values of samples in ascending order
	dropped *slidingCount     // of the samples that were dropped early, when they were taken
}

// sample is a value and when it was taken.
type sample struct {
	takenAt time.Duration
	value   float64
}

func newSlidingWindow(span time.Duration) *slidingWindow {
	return &slidingWindow{span: span, dropped: newSlidingCount(span)}
}

// newSlidingWindows returns n windows of the same span.
func newSlidingWindows(n int, span time.Duration) []*slidingWindow {
	windows := make([]*slidingWindow, n)
	for i := range windows {
		windows[i] = newSlidingWindow(span)
	}
	return windows
}

// add records a sample taken now.
func (w *slidingWindow) add(now time.Duration, value float64) {
	w.trim(now)
	if w.samples.len() == maxSamples {
		w.dropped.add(w.samples.at(0).takenAt)
		w.removeOldest()
	}
	w.samples.push(sample{now, value})
	i, _ := slices.BinarySearch(w.sorted, value)
	w.sorted = slices.Insert(w.sorted, i, value)
}

// trim drops the samples whose age is at least the span.
func (w *slidingWindow) trim(now time.Duration) {
	w.dropped.trim(now)
	expired := 0
	for expired < w.samples.len() && w.samples.at(expired).takenAt <= now-w.span {
		expired++
	}
	switch {
	case expired == 0:
		return
	case expired == w.samples.len():
		w.samples.clear()
		w.sorted = nil
		return
	case expired <= maxSingleRemovals:
		for range expired {
			w.removeOldest()
		}
	default:
		w.removeManyOldest(expired)
	}
	w.shrinkSorted()
}

// removeOldest removes the oldest sample.
func (w *slidingWindow) removeOldest() {
	i, _ := slices.BinarySearch(w.sorted, w.samples.pop().value)
	w.sorted = slices.Delete(w.sorted, i, i+1)
}

// removeManyOldest removes the n oldest samples.
func (w *slidingWindow) removeManyOldest(n int) {
	removed := make([]float64, n)
	for i := range removed {
		removed[i] = w.samples.pop().value
	}
	slices.Sort(removed)
	kept := w.sorted[:0]
	for _, value := range w.sorted {
		if len(removed) > 0 && removed[0] == value {
			removed = removed[1:]
			continue
		}
		kept = append(kept, value)
	}
	w.sorted = kept
}

// shrinkSorted returns memory that many more values needed than there are now.
func (w *slidingWindow) shrinkSorted() {
	if room := max(minSorted, 2*len(w.sorted)); cap(w.sorted) >= 2*room {
		w.sorted = append(make([]float64, 0, room), w.sorted...)
	}
}

// count returns the number of samples that were taken in the span, also of those that were dropped early.
func (w *slidingWindow) count(now time.Duration) int {
	w.trim(now)
	return w.samples.len() + w.dropped.count(now)
}

// median returns the median of the samples in the window, or fallback if there are none. It does not have to
// sort, as the values are kept sorted.
func (w *slidingWindow) median(now time.Duration, fallback float64) float64 {
	w.trim(now)
	n := len(w.sorted)
	if n == 0 {
		return fallback
	}
	return (w.sorted[(n-1)/2] + w.sorted[n/2]) / 2
}
