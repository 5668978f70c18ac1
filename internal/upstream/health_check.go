package upstream

import (
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

const (
	maxHealthChecks = 512 // in flight on a connection, those abandoned included

	// unresponsiveDivisor sets after how long without a message a connection counts as unresponsive, once a health
	// check was sent on it: ConnectTimeout divided by it.
	unresponsiveDivisor = 5
)

func (c *Client) writeHealthCheck(conn *connection, number uint64) {
	if len(conn.healthChecks) >= maxHealthChecks {
		c.endHealthCheck(number, outcome.QueueFull)
		return
	}
	conn.healthChecks = append(conn.healthChecks, number)
	if !conn.checkPending {
		conn.checkPending, conn.checkSentAt = true, c.config.Sink.Now()
	}
	c.write(conn, c.codec.EncodeHealthCheck())
}

func (c *Client) endHealthCheck(number uint64, o outcome.Outcome) {
	c.config.Sink.HealthCheckEnded(number, coordinator.Result{Outcome: o, At: c.config.Sink.Now()})
}

// abandonHealthCheck closes the connection of a health check that nobody waits for, where its reply would block
// others, or where the connection is unresponsive and idle. Elsewhere the reply may still come.
func (c *Client) abandonHealthCheck(number uint64) {
	for _, conn := range c.conns {
		if !slices.Contains(conn.healthChecks, number) {
			continue
		}
		if c.limits.Exclusive || c.isUnresponsiveAndIdle(conn) {
			c.drop(conn, outcome.Timeout)
		}
		return
	}
}

// isUnresponsive tells whether nothing was read from a connection for too long after a health check was sent on it.
// It gets no new work until something is read: it may be stuck inside a message, or lead to a host that is down. If
// the server was only slow for a moment, that costs one more connection.
func (c *Client) isUnresponsive(conn *connection) bool {
	return conn.checkPending && c.config.Sink.Now() >= conn.checkSentAt+c.unresponsiveAfter()
}

func (c *Client) unresponsiveAfter() time.Duration {
	return c.config.ConnectTimeout / unresponsiveDivisor
}

func (c *Client) isUnresponsiveAndIdle(conn *connection) bool {
	return c.isUnresponsive(conn) && len(conn.inFlight)+conn.reserved == 0
}

// dropUnresponsive closes the connections that were unresponsive at the time at which a message came on another:
// the server is up. Without it, what is in flight on them would look like a queue at the server until its deadline.
func (c *Client) dropUnresponsive(responsive *connection, at time.Duration) {
	for _, conn := range slices.Clone(c.conns) {
		if conn != responsive && c.isUnresponsive(conn) && at >= conn.checkSentAt+c.unresponsiveAfter() {
			c.drop(conn, outcome.Timeout)
		}
	}
}
