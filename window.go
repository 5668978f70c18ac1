package linkpass

import (
	"slices"
	"time"
)

// window holds timed samples of the last span of time: sums, counts, medians.
type window struct {
	span    time.Duration
	at      []time.Duration
	values  []float64
	sum     float64
	scratch []float64
	median  float64
	stale   bool
}

func newWindow(span time.Duration) *window { return &window{span: span} }

// add records a sample taken at now.
func (w *window) add(now time.Duration, v float64) {
	w.trim(now)
	w.at, w.values = append(w.at, now), append(w.values, v)
	w.sum += v
	w.stale = true
}

// trim drops the samples that are span old or older.
func (w *window) trim(now time.Duration) {
	n := 0
	for n < len(w.at) && w.at[n] <= now-w.span {
		w.sum -= w.values[n]
		n++
	}
	if n == 0 {
		return
	}
	w.at = slices.Delete(w.at, 0, n)
	w.values = slices.Delete(w.values, 0, n)
	w.stale = true
	if len(w.at) == 0 {
		w.sum = 0 // sheds rounding
	}
}

// count is the number of samples held.
func (w *window) count(now time.Duration) int {
	w.trim(now)
	return len(w.at)
}

// total is the sum of the samples held.
func (w *window) total(now time.Duration) float64 {
	w.trim(now)
	return w.sum
}

// middle is the median of the samples held, or otherwise where there are none.
func (w *window) middle(now time.Duration, otherwise float64) float64 {
	w.trim(now)
	if len(w.values) == 0 {
		return otherwise
	}
	if w.stale {
		w.scratch = append(w.scratch[:0], w.values...)
		slices.Sort(w.scratch)
		n := len(w.scratch)
		w.median = (w.scratch[(n-1)/2] + w.scratch[n/2]) / 2
		w.stale = false
	}
	return w.median
}

// newWindows makes n windows of one span.
func newWindows(n int, span time.Duration) []*window {
	out := make([]*window, n)
	for i := range out {
		out[i] = newWindow(span)
	}
	return out
}
