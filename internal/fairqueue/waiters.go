package fairqueue

import (
	"container/heap"
	"container/list"
	"time"
)

// waiter is a flow that waits for its turn.
type waiter struct {
	start   time.Duration // start tag
	finish  time.Duration // expected finish tag
	seq     uint64        // order of arrival, for equal tags
	since   time.Time     // when the wait began
	granted chan struct{} // closed when the turn begins

	index   int           // in waiters.byFinish
	arrival *list.Element // in waiters.byArrival
}

// waiters are the flows that wait, in two orders. Its zero value is empty.
type waiters struct {
	byFinish  finishHeap
	byArrival list.List // of *waiter, the longest wait first
}

// len returns the number of waiters.
func (w *waiters) len() int { return len(w.byFinish) }

// add adds a waiter that has just begun to wait.
func (w *waiters) add(added *waiter) {
	heap.Push(&w.byFinish, added)
	added.arrival = w.byArrival.PushBack(added)
}

// smallestFinish returns the waiter with the smallest expected finish tag. There must be one.
func (w *waiters) smallestFinish() *waiter { return w.byFinish[0] }

// longestWait returns the waiter that has waited for the longest time. There must be one.
func (w *waiters) longestWait() *waiter { return w.byArrival.Front().Value.(*waiter) }

// remove removes a waiter.
func (w *waiters) remove(removed *waiter) {
	heap.Remove(&w.byFinish, removed.index)
	w.byArrival.Remove(removed.arrival)
}

// finishHeap orders waiters by their expected finish tags.
type finishHeap []*waiter

func (h finishHeap) Len() int { return len(h) }
func (h finishHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].seq < h[j].seq
}
func (h finishHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *finishHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *finishHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
