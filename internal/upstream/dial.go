package upstream

import (
	"context"
	"errors"
	"net"
	"sync"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/outcome"
)

// dial adds a connection and starts a goroutine that dials it.
func (c *Client) dial() *connection {
	ctx, cancel := context.WithCancelCause(c.ctx)
	conn := &connection{
		dialedAt:   c.config.Sink.Now(),
		inFlight:   map[string]coordinator.AttemptID{},
		cancelDial: func() { cancel(context.Canceled) },
	}
	c.conns = append(c.conns, conn)
	c.config.Counters.Add("upstream_dials", 1)
	c.goroutines.Go(func() { c.runDial(ctx, cancel, conn) })
	return conn
}

// runDial dials a connection and posts the result to the event loop. It runs on its own goroutine.
func (c *Client) runDial(ctx context.Context, cancel context.CancelCauseFunc, conn *connection) {
	disarm := c.config.Sink.Arm(conn.dialedAt+c.config.ConnectTimeout, func() { cancel(context.DeadlineExceeded) })
	netConn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", c.addr)
	disarm()
	if err == nil {
		c.dialSucceeded(conn, netConn)
		return
	}
	c.config.ConnLimiter.release()
	o := outcome.FromDialError(err)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		o = outcome.DialTimeout
	}
	cancel(nil)
	if c.postConnEvent(connEnded{conn, o}) {
		c.log.Log(eventlog.DialFailed, c.server, c.addr, o)
	}
}

// dialSucceeded passes an open connection to the event loop.
func (c *Client) dialSucceeded(conn *connection, netConn net.Conn) {
	conn.closeSocket = sync.OnceFunc(func() {
		_ = netConn.Close()
		c.config.ConnLimiter.release()
	})
	// Closes the socket when the client stops. Otherwise a write could block at that time, and a socket that the event
	// loop has not received yet would stay open.
	conn.cancelCloseOnStop = context.AfterFunc(c.ctx, conn.closeSocket)
	c.postConnEvent(connOpened{conn, netConn})
	if c.ctx.Err() != nil {
		conn.closeSocket()
	}
}

// handleConnOpened starts to read from an open connection, and starts the tasks that wait for it. A connection that was
// dropped while it was dialed is closed instead.
func (c *Client) handleConnOpened(conn *connection, netConn net.Conn) {
	if conn.closed {
		conn.cancelCloseOnStop()
		conn.closeSocket()
		return
	}
	conn.netConn, conn.lastUsed = netConn, c.config.Sink.Now()
	c.goroutines.Go(func() { c.readMessages(conn) })
	c.armIdleTimeout(conn)
	c.startWaiting(conn)
}
