package coordinator

import (
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
)

// message is a request to the event loop. The loop handles messages one at a time: those in the mailbox in the order
// in which they were posted, and those in the deferred queue in the order in which they were added.
type message interface{ isMessage() }

// The messages that are posted to the mailbox.
type (
	querySubmitted     struct{ query *query }
	clientDisconnected struct{ query *query }
	attemptEnded       struct {
		id     AttemptID
		result Result
	}
	bodySent         struct{ attempt AttemptID }
	healthCheckEnded struct {
		number uint64
		result Result
	}
	warmUpRequested  struct{ done func() }
	endpointsUpdated struct{ update EndpointUpdate }
	shardMapsUpdated struct {
		changes  []shardmap.Change
		serverID func(string) routing.ServerID
	}
	maxOpenChanged     struct{ maxOpen int }
	openCountRequested struct{ reply chan<- int }
	snapshotRequested  struct {
		reply chan<- []routing.ServerSnapshot
	}
)

// The messages that are added to the deferred queue.
type (
	deadlineArmed    struct{ deadline *externalDeadline }
	deadlineDisarmed struct{ deadline *externalDeadline }
	bodyEvicted      struct{ query *query }
)

func (querySubmitted) isMessage()     {}
func (clientDisconnected) isMessage() {}
func (attemptEnded) isMessage()       {}
func (bodySent) isMessage()           {}
func (healthCheckEnded) isMessage()   {}
func (warmUpRequested) isMessage()    {}
func (endpointsUpdated) isMessage()   {}
func (shardMapsUpdated) isMessage()   {}
func (maxOpenChanged) isMessage()     {}
func (openCountRequested) isMessage() {}
func (snapshotRequested) isMessage()  {}
func (deadlineArmed) isMessage()      {}
func (deadlineDisarmed) isMessage()   {}
func (bodyEvicted) isMessage()        {}

// handle processes one message.
func (c *Core) handle(m message) {
	c.steps.messages++
	switch m := m.(type) {
	case querySubmitted:
		c.open(m.query)
	case clientDisconnected:
		c.disconnect(m.query)
	case attemptEnded:
		c.endAttempt(m.id, m.result)
	case bodySent:
		c.handleBodySent(m.attempt)
	case healthCheckEnded:
		c.endHealthCheck(m.number, m.result)
	case warmUpRequested:
		c.warmUp(m.done)
	case endpointsUpdated:
		c.updateEndpoints(m.update)
	case shardMapsUpdated:
		c.updateShardMaps(m.changes, m.serverID)
	case maxOpenChanged:
		c.addEvent(routing.CapacityChange{MaxOpen: m.maxOpen})
	case openCountRequested:
		m.reply <- len(c.queries) + len(c.parts)
	case snapshotRequested:
		m.reply <- c.router.Snapshot(c.Now())
	case deadlineArmed:
		c.armExternal(m.deadline)
	case deadlineDisarmed:
		c.disarmExternal(m.deadline)
	case bodyEvicted:
		c.handleBodyEvicted(m.query)
	}
}

// post puts a message into the mailbox and blocks while the mailbox is full. The event loop itself never blocks, so
// that it keeps emptying the mailbox. post returns false if the loop has stopped.
func (c *Core) post(m message) bool {
	select {
	case c.mailbox <- m:
		return true
	case <-c.stopped:
		return false
	}
}

// drainMailbox handles the messages that are already in the mailbox, at most as many as it can hold.
func (c *Core) drainMailbox() {
	for range cap(c.mailbox) {
		select {
		case m := <-c.mailbox:
			c.handle(m)
		default:
			return
		}
	}
}
