package upstream

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

const (
	checkNamePrefix = "check-"
	maxHealthChecks = 512 // in flight on a connection, including abandoned ones

	// unresponsiveDivisor sets when a connection counts as unresponsive: if nothing is read from it for
	// ConnectTimeout / unresponsiveDivisor after a health check was sent on it.
	unresponsiveDivisor = 5
)

// checkName returns the name of a health check. The name of a part has a dot.
func checkName(number uint64) string { return checkNamePrefix + strconv.FormatUint(number, 10) }

// isCheckName reports whether a reply has the name of a health check.
func isCheckName(name string) bool {
	return strings.HasPrefix(name, checkNamePrefix) && !strings.Contains(name, ".")
}

func (c *Client) writeHealthCheck(conn *connection, number uint64) {
	if len(conn.healthChecks) >= maxHealthChecks {
		c.endHealthCheck(number, outcome.QueueFull)
		return
	}
	conn.healthChecks = append(conn.healthChecks, number)
	if !conn.checkPending {
		conn.checkPending, conn.checkSentAt = true, c.config.Sink.Now()
	}
	c.write(conn, c.codec.EncodeHealthCheck(checkName(number)))
}

func (c *Client) endHealthCheck(number uint64, o outcome.Outcome) {
	c.config.Sink.HealthCheckEnded(number, coordinator.Result{Outcome: o, At: c.config.Sink.Now()})
}

// abandonHealthCheck handles a health check whose result is no longer needed. It closes the connection if waiting for
// the reply would block other tasks, or if the connection is unresponsive and idle. Otherwise the reply may still
// arrive.
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

// isUnresponsive reports whether nothing has been read from a connection for unresponsiveTimeout since a health check
// was sent on it. Such a connection gets no new work until something is read, because it may be stuck inside a message,
// or its host may be down. If the server was only slow for a moment, this costs one more connection.
func (c *Client) isUnresponsive(conn *connection) bool {
	return conn.checkPending && c.config.Sink.Now() >= conn.checkSentAt+c.unresponsiveTimeout()
}

// unresponsiveTimeout returns the time without a message after which a connection with a pending health check is
// unresponsive.
func (c *Client) unresponsiveTimeout() time.Duration {
	return c.config.ConnectTimeout / unresponsiveDivisor
}

func (c *Client) isUnresponsiveAndIdle(conn *connection) bool {
	return c.isUnresponsive(conn) && len(conn.inFlight)+conn.reserved == 0
}

// dropUnresponsive closes the connections that were unresponsive at the time at, when a message was received on
// another connection, which shows that the server is up. Otherwise the attempts in flight on them would look like a
// queue at the server until their deadline.
func (c *Client) dropUnresponsive(responsive *connection, at time.Duration) {
	for _, conn := range slices.Clone(c.conns) {
		if conn != responsive && c.isUnresponsive(conn) && at >= conn.checkSentAt+c.unresponsiveTimeout() {
			c.drop(conn, outcome.Timeout)
		}
	}
}
