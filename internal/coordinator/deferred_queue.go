package coordinator

import (
	"container/list"
	"sync"
)

// deferredQueue is a queue of messages to the event loop, for callers that must not block on a full mailbox. It holds at
// most one message for each deadline that another component has armed and not disarmed, one for each disarmed deadline
// that is still in the loop's queue, and the evictions of the open queries' bodies: a deadline that is disarmed before the
// loop has seen it leaves the queue at once. So its length does not grow with the number of requests.
type deferredQueue struct {
	wake chan struct{} // wakes the loop; has capacity 1 and holds a token while the queue may have messages

	mu       sync.Mutex
	messages list.List // of message, oldest first
}

func newDeferredQueue() *deferredQueue { return &deferredQueue{wake: make(chan struct{}, 1)} }

// add queues a message and wakes the event loop. It never blocks on the loop.
func (d *deferredQueue) add(m message) {
	d.mu.Lock()
	d.messages.PushBack(m)
	d.mu.Unlock()
	d.wakeLoop()
}

// wakeLoop wakes the event loop, unless it has not read the previous token yet.
func (d *deferredQueue) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// addArmed queues that a deadline is armed.
func (d *deferredQueue) addArmed(deadline *externalDeadline) {
	d.mu.Lock()
	deadline.queued = d.messages.PushBack(deadlineArmed{deadline})
	d.mu.Unlock()
	d.wakeLoop()
}

// addDisarmed removes a deadline from the queue if the loop has not armed it yet. Otherwise it queues that the deadline
// is disarmed.
func (d *deferredQueue) addDisarmed(deadline *externalDeadline) {
	d.mu.Lock()
	queued := deadline.queued
	deadline.queued = nil
	if queued != nil {
		d.messages.Remove(queued)
	}
	d.mu.Unlock()
	if queued == nil {
		d.add(deadlineDisarmed{deadline})
	}
}

// takeAll removes and returns all messages, oldest first.
func (d *deferredQueue) takeAll() (messages []message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := d.messages.Front(); e != nil; e = e.Next() {
		if armed, ok := e.Value.(deadlineArmed); ok {
			armed.deadline.queued = nil
		}
		messages = append(messages, e.Value.(message))
	}
	d.messages.Init()
	return messages
}

// len returns the number of queued messages.
func (d *deferredQueue) len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.messages.Len()
}

// handleDeferred handles the deferred messages.
func (c *Core) handleDeferred() {
	for _, m := range c.deferred.takeAll() {
		c.handle(m)
	}
}
