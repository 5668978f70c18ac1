package routing

// minRing is the smallest capacity of a ringQueue that holds anything.
const minRing = 16

// ringQueue is a first-in, first-out queue in a ring buffer. Its capacity follows its length in both
// directions, so that it holds no memory for what has left it. Its zero value is empty.
type ringQueue[T any] struct {
	ring  []T // its length is the capacity
	first int // index of the oldest item
	count int
}

// len returns the number of items.
func (q *ringQueue[T]) len() int { return q.count }

// at returns the item at a position, counted from the oldest. The pointer is valid until the next push or
// pop.
func (q *ringQueue[T]) at(i int) *T { return &q.ring[(q.first+i)%len(q.ring)] }

// newest returns the newest item, or nil if there is none.
func (q *ringQueue[T]) newest() *T {
	if q.count == 0 {
		return nil
	}
	return q.at(q.count - 1)
}

// push appends an item.
func (q *ringQueue[T]) push(item T) {
	if q.count == len(q.ring) {
		q.resize(max(minRing, 2*q.count))
	}
	q.count++
	*q.newest() = item
}

// pop removes the oldest item and returns it. The queue must not be empty.
func (q *ringQueue[T]) pop() T {
	item := *q.at(0)
	clear(q.ring[q.first : q.first+1]) // so that the ring does not keep what the item refers to
	q.first = (q.first + 1) % len(q.ring)
	q.count--
	if len(q.ring) > minRing && q.count <= len(q.ring)/4 {
		q.resize(len(q.ring) / 2)
	}
	return item
}

// clear removes all items.
func (q *ringQueue[T]) clear() { *q = ringQueue[T]{} }

// resize moves the items to a new ring.
func (q *ringQueue[T]) resize(capacity int) {
	ring := make([]T, capacity)
	for i := range q.count {
		ring[i] = *q.at(i)
	}
	q.ring, q.first = ring, 0
}
