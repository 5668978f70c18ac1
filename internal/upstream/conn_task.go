package upstream

import (
	"slices"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// connTask is a request or a health check, which needs an open connection to be written on.
type connTask interface {
	// streams returns how many of the connection's streams the task needs.
	streams(Limits) int
	// usable reports whether the replies to the task can be identified on a connection.
	usable(Limits, *connection) bool
	// start writes the task on an open connection.
	start(*Client, *connection)
	// fail reports the outcome of a task for which there is no connection.
	fail(*Client, outcome.Outcome)
}

type requestTask struct{ attempts []coordinator.Attempt }

func (t requestTask) streams(Limits) int { return len(t.attempts) }

// usable returns false if a part of the same name was on the connection before: a second copy of its reply could not be
// told from the reply to this one. Where the protocol prescribes the name and the part may run more than once, this is
// allowed, because both replies are of the same query and shard.
func (t requestTask) usable(l Limits, conn *connection) bool {
	return !slices.ContainsFunc(t.attempts, func(a coordinator.Attempt) bool {
		return (l.Exclusive || a.AtMostOnce) && slices.Contains(conn.endedNames, partName(a))
	})
}
func (t requestTask) start(c *Client, conn *connection) { c.writeRequest(conn, t.attempts) }
func (t requestTask) fail(c *Client, o outcome.Outcome) { c.endAttempts(t.attempts, o) }

type healthCheckTask struct{ number uint64 }

func (healthCheckTask) streams(l Limits) int {
	if l.Exclusive {
		return 1
	}
	return 0
}
func (healthCheckTask) usable(Limits, *connection) bool     { return true }
func (t healthCheckTask) start(c *Client, conn *connection) { c.writeHealthCheck(conn, t.number) }
func (t healthCheckTask) fail(c *Client, o outcome.Outcome) { c.endHealthCheck(t.number, o) }

// startTask starts a task on a connection with enough free streams, at once or when the connection has been dialed. If
// there is no such connection and none can be dialed, the task fails with QueueFull.
func (c *Client) startTask(t connTask) {
	streams := t.streams(c.limits)
	conn := c.pickConnection(streams, t.usable)
	if conn == nil {
		t.fail(c, outcome.QueueFull)
		return
	}
	if conn.netConn != nil {
		t.start(c, conn)
		return
	}
	conn.reserved += streams
	conn.waiting = append(conn.waiting, t)
}

// pickConnection returns a connection with at least the given number of free streams that is usable, if that is not nil.
// It prefers an open connection to one that is being dialed, and dials one if there is neither. It returns nil if it may
// not dial: the client is stopping, or a limit is reached.
func (c *Client) pickConnection(streams int, usable func(Limits, *connection) bool) *connection {
	for _, open := range []bool{true, false} {
		for _, conn := range c.conns {
			if (conn.netConn != nil) == open && conn.body == nil && !c.isUnresponsive(conn) &&
				c.usedStreams(conn)+streams <= c.limits.MaxStreams && (usable == nil || usable(c.limits, conn)) {
				return conn
			}
		}
	}
	if c.stopping || len(c.conns) >= c.limits.MaxConns || !c.config.ConnLimiter.acquire() {
		return nil
	}
	return c.dial()
}

// startWaiting starts the tasks that wait for a connection if it is open, and fails them if it is closed.
func (c *Client) startWaiting(conn *connection) {
	waiting := conn.waiting
	conn.waiting = nil
	for _, t := range waiting {
		conn.reserved -= t.streams(c.limits)
		switch {
		case conn.closed:
			t.fail(c, conn.closeOutcome)
		case conn.body != nil: // an earlier task has started to write a body
			c.startTask(t)
		default:
			t.start(c, conn)
		}
	}
}
