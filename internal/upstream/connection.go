package upstream

import (
	"net"
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/outcome"
)

// maxEndedNames is how many names of ended parts a connection remembers.
const maxEndedNames = 256

// connection is one connection, open or being dialed. The event loop owns it; the goroutines that dial, read and
// write a body use netConn and what the dial has set.
type connection struct {
	netConn  net.Conn // nil while it is dialed
	dialedAt time.Duration
	lastUsed time.Duration
	waiting  []connTask // start once it is open
	reserved int        // streams that waiting needs

	inFlight     map[string]coordinator.AttemptID // by name of part
	healthChecks []uint64                         // in flight, in the order sent, which is that of the replies
	body         *bodyWrite                       // not nil: nothing else may be written until it ends
	endedNames   []string                         // of parts that ended, latest last: late replies have these names

	checkPending bool          // a health check was sent at checkSentAt, and nothing was read since
	checkSentAt  time.Duration // meaningless unless checkPending

	closed       bool
	closeOutcome outcome.Outcome // once closed

	cancelDial  func()
	disarmIdle  func()      // nil: no idle timeout is armed
	closeSocket func()      // closes netConn and releases it at the limiter; may be called again
	keepSocket  func() bool // cancels the close of the socket at the client's stop
}

// recordEnded removes a part that has ended. Its reply may still come.
func (conn *connection) recordEnded(name string) {
	delete(conn.inFlight, name)
	if len(conn.endedNames) == maxEndedNames {
		conn.endedNames = slices.Delete(conn.endedNames, 0, 1)
	}
	conn.endedNames = append(conn.endedNames, name)
}

// usedStreams is how many of Limits.MaxStreams are in use or reserved.
func (c *Client) usedStreams(conn *connection) int {
	if c.limits.Exclusive {
		return len(conn.inFlight) + len(conn.healthChecks) + conn.reserved
	}
	return len(conn.inFlight) + conn.reserved
}

// dropConnsBefore closes the connections that were dialed before a time.
func (c *Client) dropConnsBefore(startedAt time.Duration) {
	for _, conn := range slices.Clone(c.conns) {
		if conn.dialedAt < startedAt {
			c.drop(conn, outcome.ConnReset)
		}
	}
}

// drop closes a connection and ends what waits and what is in flight on it. A second call does nothing.
func (c *Client) drop(conn *connection, o outcome.Outcome) {
	if conn.closed {
		return
	}
	conn.closed, conn.closeOutcome = true, o
	conn.cancelDial()
	if conn.disarmIdle != nil {
		conn.disarmIdle()
	}
	c.conns = slices.DeleteFunc(c.conns, func(other *connection) bool { return other == conn })
	if conn.netConn != nil {
		conn.keepSocket()
		conn.closeSocket()
	}
	if len(conn.inFlight)+len(conn.healthChecks) > 0 && o != outcome.Timeout && o != outcome.Canceled {
		c.log.Log(eventlog.ConnLost, c.server, o, len(conn.inFlight), len(conn.healthChecks))
	}
	c.config.Counters.Add("upstream_conn_ended_"+o.String(), 1)
	c.startWaiting(conn)
	c.endInFlight(conn, o)
}

// endInFlight ends what is in flight on a connection that was closed.
func (c *Client) endInFlight(conn *connection, o outcome.Outcome) {
	at := c.config.Sink.Now()
	for _, id := range conn.inFlight {
		ended := o
		if conn.body != nil {
			ended = conn.body.outcomeOf(id, o)
		}
		c.config.Sink.AttemptEnded(id, coordinator.Result{Outcome: ended, At: at})
	}
	for _, number := range conn.healthChecks {
		c.config.Sink.HealthCheckEnded(number, coordinator.Result{Outcome: o, At: at})
	}
}
