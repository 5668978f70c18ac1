package upstream

import (
	"net"
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/outcome"
)

// maxEndedNames is the maximum number of names of ended parts that a connection keeps.
const maxEndedNames = 256

// connection is one connection, open or being dialed. The event loop owns it. The goroutines that dial, read and write
// a body use only netConn and the fields that the dial sets.
type connection struct {
	netConn  net.Conn      // nil until the dial succeeds
	dialedAt time.Duration // when the dial started
	lastUsed time.Duration // last time at which the connection was opened, written to or found in use
	waiting  []connTask    // tasks to start once the connection is open
	reserved int           // number of streams that the tasks in waiting need

	inFlight     map[string]coordinator.AttemptID // attempts in flight, by name of their part
	healthChecks []uint64                         // in flight, in the order sent, in which the replies come too
	body         *bodyWrite                       // if not nil, nothing else may be written until it ends
	endedNames   []string                         // names of ended parts, latest last: late replies have these names

	checkPending bool          // a health check was sent at checkSentAt, and nothing has been read since
	checkSentAt  time.Duration // valid only if checkPending

	closed       bool
	closeOutcome outcome.Outcome // valid only if closed

	cancelDial        func()
	disarmIdle        func()      // disarms the idle timeout; nil if none was armed
	closeSocket       func()      // closes netConn and releases its slot in the limiter; further calls do nothing
	cancelCloseOnStop func() bool // cancels closing the socket when the client stops
}

// recordEnded removes a part that has ended from inFlight and keeps its name, because its reply may still arrive.
func (conn *connection) recordEnded(name string) {
	delete(conn.inFlight, name)
	if len(conn.endedNames) == maxEndedNames {
		conn.endedNames = slices.Delete(conn.endedNames, 0, 1)
	}
	conn.endedNames = append(conn.endedNames, name)
}

// awaitsCheck reports whether the health check of that name is the next one whose reply is awaited.
func (conn *connection) awaitsCheck(name string) bool {
	return len(conn.healthChecks) > 0 && checkName(conn.healthChecks[0]) == name
}

// usedStreams returns the number of the connection's streams that are in use or reserved, out of Limits.MaxStreams.
func (c *Client) usedStreams(conn *connection) int {
	if c.limits.Exclusive {
		return len(conn.inFlight) + len(conn.healthChecks) + conn.reserved
	}
	return len(conn.inFlight) + conn.reserved
}

// dropConnsBefore closes the connections that were dialed before startedAt.
func (c *Client) dropConnsBefore(startedAt time.Duration) {
	for _, conn := range slices.Clone(c.conns) {
		if conn.dialedAt < startedAt {
			c.drop(conn, outcome.ConnReset)
		}
	}
}

// drop closes a connection, and ends the tasks that wait for it and everything in flight on it, with outcome o. A
// second call does nothing.
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
		conn.cancelCloseOnStop()
		conn.closeSocket()
	}
	if len(conn.inFlight)+len(conn.healthChecks) > 0 && o != outcome.Timeout && o != outcome.Canceled {
		c.log.Log(eventlog.ConnLost, c.server, o, len(conn.inFlight), len(conn.healthChecks))
	}
	c.config.Counters.Add("upstream_conn_ended_"+o.String(), 1)
	c.startWaiting(conn)
	c.endInFlight(conn, o)
}

// endInFlight reports the results of the attempts and health checks in flight on a connection that was closed.
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
