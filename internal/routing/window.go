package routing

import (
	"slices"
	"time"
)

// window holds timed samples of the last span of time: counts, medians. The samples are kept in
// order of size as they come and go: to sort them for each median took four fifths of a node's CPU.
type window struct {
	span   time.Duration
	at     []time.Duration
	values []float64
	sorted []float64
}

func newWindow(span time.Duration) *window { return &window{span: span} }

// add records a sample taken at now.
func (w *window) add(now time.Duration, v float64) {
	w.trim(now)
	w.at, w.values = append(w.at, now), append(w.values, v)
	i, _ := slices.BinarySearch(w.sorted, v)
	w.sorted = slices.Insert(w.sorted, i, v)
}

// trim drops the samples that are span old or older.
func (w *window) trim(now time.Duration) {
	n := 0
	for n < len(w.at) && w.at[n] <= now-w.span {
		i, _ := slices.BinarySearch(w.sorted, w.values[n])
		w.sorted = slices.Delete(w.sorted, i, i+1)
		n++
	}
	if n == 0 {
		return
	}
	w.at = slices.Delete(w.at, 0, n)
	w.values = slices.Delete(w.values, 0, n)
}

// count is the number of samples held.
func (w *window) count(now time.Duration) int {
	w.trim(now)
	return len(w.at)
}

// middle is the median of the samples held, or otherwise where there are none.
func (w *window) middle(now time.Duration, otherwise float64) float64 {
	w.trim(now)
	n := len(w.sorted)
	if n == 0 {
		return otherwise
	}
	return (w.sorted[(n-1)/2] + w.sorted[n/2]) / 2
}

// newWindows makes n windows of one span.
func newWindows(n int, span time.Duration) []*window {
	out := make([]*window, n)
	for i := range out {
		out[i] = newWindow(span)
	}
	return out
}
