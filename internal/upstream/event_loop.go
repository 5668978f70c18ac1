package upstream

import (
	"slices"

	"linkpass/internal/outcome"
)

// run is the event loop. It returns once the client is stopped.
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

// handleConnEvents handles the connection events that are queued. It is called before each command, so that a command
// does not write to a connection whose end has already been reported.
func (c *Client) handleConnEvents() {
	for range len(c.connEvents) {
		(<-c.connEvents).handle(c)
	}
}

// shutDown handles the queued events and closes all connections. This ends everything that waits or is in flight;
// otherwise it would stay open until its deadline.
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

// hasAttempts reports whether an attempt is in flight or waits for a connection.
func (c *Client) hasAttempts() bool {
	return slices.ContainsFunc(c.conns, func(conn *connection) bool { return len(conn.inFlight)+conn.reserved > 0 })
}

// post posts a command without waiting. It returns false if the mailbox is full or the client has stopped.
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

// postConnEvent posts a connection event, and waits while the channel is full. It returns false if the client stops
// before the event is posted.
func (c *Client) postConnEvent(e event) bool {
	select {
	case c.connEvents <- e:
		return true
	case <-c.ctx.Done():
		return false
	}
}
