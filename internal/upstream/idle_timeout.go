package upstream

import (
	"time"

	"linkpass/internal/outcome"
)

// idleMarginDivisor sets how long before the server an idle connection is closed here: Keepalive divided by it.
// A request that crosses the server's close would be reset.
const idleMarginDivisor = 4

// idleLimit is how long a connection may be idle; 0: forever.
func (c *Client) idleLimit() time.Duration {
	return max(0, c.config.Keepalive-c.config.Keepalive/idleMarginDivisor)
}

// armIdleTimeout arms a check of the connection for when it will have been idle for the limit.
func (c *Client) armIdleTimeout(conn *connection) {
	limit := c.idleLimit()
	if limit == 0 {
		return
	}
	conn.disarmIdle = c.config.Sink.Arm(conn.lastUsed+limit, func() { c.post(idleTimeout{conn}) })
}

// checkIdle closes a connection that was idle for the limit, and arms the next check otherwise.
func (c *Client) checkIdle(conn *connection) {
	switch {
	case conn.closed:
		return
	case len(conn.inFlight) > 0 || conn.body != nil:
		conn.lastUsed = c.config.Sink.Now()
	case c.config.Sink.Now() >= conn.lastUsed+c.idleLimit():
		c.config.Counters.Add("upstream_idle_closed", 1)
		c.drop(conn, outcome.ConnClosed)
		return
	}
	c.armIdleTimeout(conn)
}
