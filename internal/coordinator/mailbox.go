package coordinator

import "sync"

// post puts a message into the mailbox. It waits while the mailbox is full, which the event loop, which never blocks,
// soon ends. It returns false if the loop has stopped.
func (c *Core) post(message func()) bool {
	select {
	case c.mailbox <- message:
		return true
	case <-c.stopped:
		return false
	}
}

// drainMailbox takes the messages that already wait, up to a full mailbox of them.
func (c *Core) drainMailbox() {
	for range cap(c.mailbox) {
		select {
		case message := <-c.mailbox:
			message()
		default:
			return
		}
	}
}

// deferredQueue is an unbounded queue of requests to the event loop, beside the mailbox, for callers that must not wait.
type deferredQueue struct {
	waiting chan struct{} // of capacity 1: holds a token while the loop is to look at the queue

	mu       sync.Mutex
	requests []func()
}

// add queues a request and wakes the event loop. It never waits for the loop.
func (d *deferredQueue) add(request func()) {
	d.mu.Lock()
	d.requests = append(d.requests, request)
	d.mu.Unlock()
	select {
	case d.waiting <- struct{}{}:
	default: // the loop has yet to look at the queue
	}
}

// takeAll empties the queue, oldest request first.
func (d *deferredQueue) takeAll() []func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	requests := d.requests
	d.requests = nil
	return requests
}

// runDeferred handles the deferred requests in their order.
func (c *Core) runDeferred() {
	for _, request := range c.deferred.takeAll() {
		request()
	}
}
