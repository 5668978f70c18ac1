package upstream

import (
	"slices"

	"linkpass/internal/outcome"
)

// run is the event loop. It ends once the client is stopped.
func (c *Client) run() {
	for {
		select {
		case e := <-c.connEvents:
			e.handle(c)
		case e := <-c.mailbox:
			c.handleConnEvents()
			e.handle(c)
		case <-c.ctx.Done():
			c.shutDown()
			return
		}
		if c.draining && !c.hasAttempts() {
			c.stop()
		}
	}
}

// handleConnEvents handles the events that wait. Before a command, this guards against a write to a connection whose
// end is already known.
func (c *Client) handleConnEvents() {
	for range len(c.connEvents) {
		(<-c.connEvents).handle(c)
	}
}

// shutDown ends what waits and what is in flight, so that nothing is left until its deadline.
func (c *Client) shutDown() {
	c.stopping = true
	c.handleConnEvents()
	for len(c.mailbox) > 0 {
		(<-c.mailbox).handle(c)
	}
	for _, conn := range slices.Clone(c.conns) {
		c.drop(conn, outcome.ConnClosed)
	}
}

// hasAttempts tells whether an attempt is in flight or waits for a connection.
func (c *Client) hasAttempts() bool {
	return slices.ContainsFunc(c.conns, func(conn *connection) bool { return len(conn.inFlight)+conn.reserved > 0 })
}

// post posts a command without waiting. It returns false where the mailbox is full or the client has stopped.
func (c *Client) post(e event) bool {
	if c.ctx.Err() != nil {
		return false
	}
	select {
	case c.mailbox <- e:
		return true
	default:
		c.config.Counters.Add("upstream_mailbox_full", 1)
		return false
	}
}

// postConnEvent posts an event of a connection and waits for room. It returns false where the client has stopped.
func (c *Client) postConnEvent(e event) bool {
	select {
	case c.connEvents <- e:
		return true
	case <-c.ctx.Done():
		return false
	}
}
