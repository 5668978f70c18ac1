package routing

import (
	"slices"
	"time"
)

// slidingWindow holds the samples of the last span of time and returns their number and median.
type slidingWindow struct {
	span    time.Duration
	takenAt []time.Duration // by sample, in order of time
	values  []float64       // by sample, in order of time
	sorted  []float64       // the same values in ascending order, updated by each add and trim; see median
}

func newSlidingWindow(span time.Duration) *slidingWindow { return &slidingWindow{span: span} }

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
	w.takenAt, w.values = append(w.takenAt, now), append(w.values, value)
	i, _ := slices.BinarySearch(w.sorted, value)
	w.sorted = slices.Insert(w.sorted, i, value)
}

// trim drops the samples whose age is at least the span.
func (w *slidingWindow) trim(now time.Duration) {
	n := 0
	for n < len(w.takenAt) && w.takenAt[n] <= now-w.span {
		i, _ := slices.BinarySearch(w.sorted, w.values[n])
		w.sorted = slices.Delete(w.sorted, i, i+1)
		n++
	}
	if n == 0 {
		return
	}
	w.takenAt = slices.Delete(w.takenAt, 0, n)
	w.values = slices.Delete(w.values, 0, n)
}

// count returns the number of samples in the window.
func (w *slidingWindow) count(now time.Duration) int {
	w.trim(now)
	return len(w.takenAt)
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
