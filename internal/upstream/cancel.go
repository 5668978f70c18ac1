package upstream

import (
	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// cancelAttempt cancels an attempt if it is in flight. No result is reported to the sink for it.
func (c *Client) cancelAttempt(id coordinator.AttemptID) {
	for _, conn := range c.conns {
		for name, inFlight := range conn.inFlight {
			if inFlight == id {
				conn.recordEnded(name)
				c.writeCancel(conn, id, name)
				return
			}
		}
	}
}

// writeCancel cancels a part at the server: with a message if possible, otherwise by closing the connection.
func (c *Client) writeCancel(conn *connection, id coordinator.AttemptID, name string) {
	switch {
	case conn.body != nil && conn.body.attempt.ID != id: // a message cannot be written inside another
		conn.body.cancelAfter = append(conn.body.cancelAfter, name)
	case c.limits.Exclusive || conn.body != nil:
		c.drop(conn, outcome.Canceled)
	case c.write(conn, c.codec.EncodeCancel(name)) && c.isUnresponsiveAndIdle(conn):
		c.drop(conn, outcome.Timeout)
	}
}
