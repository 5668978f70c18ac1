package upstream

import (
	"time"

	"linkpass/internal/outcome"
)

// idleMarginDivisor sets how much earlier than the server the client closes an idle connection: by
// ServerIdleTimeout / idleMarginDivisor. Otherwise a request that is sent while the server closes the connection would
// be reset.
const idleMarginDivisor = 4

// idleLimit returns how long a connection may be idle; 0 means without limit.
func (c *Client) idleLimit() time.Duration {
	return max(0, c.config.ServerIdleTimeout-c.config.ServerIdleTimeout/idleMarginDivisor)
}

// armIdleTimeout schedules a check of the connection for the time at which it reaches the idle limit, if it is not used
// before.
func (c *Client) armIdleTimeout(conn *connection) {
	limit := c.idleLimit()
	if limit == 0 {
		return
	}
	conn.disarmIdle = c.config.Sink.Arm(conn.lastUsed+limit, func() { c.post(idleTimeout{conn}) })
}

// checkIdle closes a connection that has been idle for the limit. Otherwise it schedules the next check.
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
