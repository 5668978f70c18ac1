package http1

import (
	"context"
	"errors"
	"net"
	"net/textproto"
	"os"
	"syscall"
	"time"

	"linkpass/internal/eventlog"
)

// conn is one connection of a Server. Its own goroutine, started by Server.Serve, reads requests, writes responses and
// closes the connection. Other goroutines may interrupt its wait for bytes at any time. They may close it only in three
// cases: to evict it while it lingers, after WriteTimeout, and in Server.Close in any state.
type conn struct {
	net.Conn
	server    *Server
	readAhead readAhead

	// The following fields are guarded by server.mu. Only the connection's goroutine changes the state, except to
	// stateEvicted, which the evicting goroutine sets.
	state      connState
	stateSince time.Duration // when the state was entered, on the server's clock
	stateSeq   int           // number of state changes; a deadline armed before the latest change has no effect
	hasServed  bool          // a request was answered with status 200
	inCrowd    bool          // isCrowded when the connection was admitted
	// interruptedFor is why another goroutine has interrupted the present state; empty if none has.
	interruptedFor closeReason
}

// interruptRead makes reads fail with os.ErrDeadlineExceeded until the read deadline is reset. It never blocks. The
// connection's goroutine decides whether the connection is then closed.
func (c *conn) interruptRead() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// interruptFor interrupts reads and records why. The server's mutex must be held.
func (c *conn) interruptFor(reason closeReason) {
	c.interruptedFor = reason
	if c.state == stateReading {
		c.readAhead.account.Abort()
	}
	c.interruptRead()
}

// countClose counts the end of a connection that waited for a request. fallback is the reason if the wait has ended
// with err and nobody has interrupted it.
func (c *conn) countClose(err error, fallback closeReason) {
	s := c.server
	s.mu.Lock()
	reason := c.interruptedFor
	s.mu.Unlock()
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		reason = closedByClient
	case reason == "":
		reason = fallback
	}
	s.count(string(reason))
}

// hasUnreadBytes reports whether the socket's receive buffer holds bytes that have not been read.
func (c *conn) hasUnreadBytes() (unread bool) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	_ = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// serve reads and answers requests one after another until the connection ends, and then closes it.
func (c *conn) serve() {
	defer c.release()
	reader := NewReader(&c.readAhead, c.server.MaxBody)
	reader.NewBodySink = c.server.NewBodySink
	reader.flow, reader.account, reader.fields = c.readAhead.flow, c.readAhead.account, c.server.HeaderFields
	for first := true; c.serveNext(reader, first); first = false {
	}
}

// release closes the connection and removes it from its server.
func (c *conn) release() {
	s := c.server
	_ = c.Close()
	c.readAhead.account.Close()
	s.mu.Lock()
	delete(s.conns, c)
	c.stateSeq++
	s.stateChanged.Broadcast()
	s.mu.Unlock()
	s.running.Done()
}

// serveNext reads and answers one request, and reports whether the connection may carry another. The first request must
// be complete FirstRequestTimeout after connecting; a later one may start within IdleTimeout and must then be complete
// within RequestTimeout.
func (c *conn) serveNext(reader *Reader, first bool) bool {
	s := c.server
	timeout, timedOut := IdleTimeout, closedIdle
	if first {
		timeout, timedOut = FirstRequestTimeout, closedSilent
	}
	deadline := s.Clock.Now() + timeout
	if err := c.awaitRequest(reader, deadline); err != nil {
		c.countClose(err, timedOut)
		c.shutdown()
		return false
	}
	if c.readAhead.hasClosed() {
		s.count(string(closedUnread))
		return false
	}
	if !s.setState(c, stateReading) {
		return false
	}
	startedAt := s.Clock.Now()
	if !first {
		deadline = startedAt + RequestTimeout
	}
	req, err := c.readRequest(reader, deadline)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	if !s.setState(c, stateServing) {
		return false
	}
	s.count("requests")
	if !c.respond(startedAt, req) {
		c.shutdown()
		return false
	}
	return s.setState(c, stateIdle)
}

// awaitRequest waits until the deadline for the first byte of a request. If bytes have arrived when the wait is
// interrupted, they count as a request, so that a request that arrives just as the connection is to be closed is
// served.
func (c *conn) awaitRequest(reader *Reader, deadline time.Duration) error {
	disarm := c.armReadTimeout(deadline)
	defer disarm()
	err := reader.Wait()
	for errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnreadBytes() {
		_ = c.SetReadDeadline(time.Time{})
		err = reader.Wait()
	}
	return err
}

// readRequest reads a request, which must be complete by the deadline. Until it is, it may be shed to make room for
// others.
func (c *conn) readRequest(reader *Reader, deadline time.Duration) (*Request, error) {
	account := c.readAhead.account
	disarm := c.armReadTimeout(deadline)
	defer disarm()
	account.Receiving()
	defer account.Received()
	req, err := reader.Request()
	if errors.Is(err, os.ErrDeadlineExceeded) && account.WasShed() {
		err = shedError(true)
	}
	return req, err
}

// respond passes a request to the handler, writes the response and reports whether the connection may carry another
// request. If the client has left before the handler has answered, the response is not written; if it has left before
// the request was served, the handler is not called.
func (c *conn) respond(startedAt time.Duration, req *Request) (reusable bool) {
	defer c.releaseRequest(req)
	s := c.server
	if c.readAhead.hasClosed() {
		s.count(string(closedUnread))
		return false
	}
	switch err := c.readAhead.drain(); {
	case errors.Is(err, errOverrun):
		if !c.readAhead.mayBePresent() {
			s.count("rejected_overrun")
			return c.writeLast(req, &Response{Status: statusServiceUnavailable})
		}
	case err != nil:
		s.count(string(closedUnread))
		return false
	}
	ctx, leave := context.WithCancelCause(context.Background())
	defer leave(nil)
	stopReadAhead := c.startReadAhead(leave)
	res := s.Handler.Serve(ctx, startedAt, req)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errOverrun) {
		s.count("unread")
	} else {
		reusable = c.writeLast(req, res)
	}
	stopReadAhead()
	return reusable
}

// releaseRequest returns what a request that has ended held.
func (c *conn) releaseRequest(req *Request) {
	if req.BodySink != nil {
		req.BodySink.Abort()
	}
	c.readAhead.account.Reset()
	c.readAhead.hold()
}

// writeLast writes the response to a request, and reports whether the connection may carry another one.
func (c *conn) writeLast(req *Request, res *Response) (reusable bool) {
	s := c.server
	res.Close = res.Close || req.Close || s.Draining()
	if res.Status == statusOK {
		s.mu.Lock()
		c.hasServed = true
		s.mu.Unlock()
	}
	return c.write(res) && !res.Close
}

// startReadAhead starts a goroutine that buffers what the client sends while its request is served. It calls leave with
// the reason if the client disconnects, or if it may have disconnected behind more than is read ahead. stop ends the
// goroutine and waits for it.
func (c *conn) startReadAhead(leave func(error)) (stop func()) {
	ended := make(chan struct{})
	disarm := func() {}
	go func() {
		defer close(ended)
		switch err := c.readAhead.fill(); {
		case errors.Is(err, errOverrun):
			disarm = c.server.Clock.Arm(c.readAhead.presentAt+presenceLimit, func() { leave(err) })
		case !errors.Is(err, os.ErrDeadlineExceeded):
			leave(err)
		}
	}()
	return func() {
		c.interruptRead()
		<-ended
		disarm()
	}
}

// write writes a response and reports whether it succeeded. If that takes longer than WriteTimeout, the connection is
// closed and the write fails.
func (c *conn) write(res *Response) bool {
	s := c.server
	c.readAhead.account.Force(int64(len(res.Body)))
	disarm := s.Clock.Arm(s.Clock.Now()+WriteTimeout, func() { _ = c.Close() })
	err := WriteResponse(c, res)
	disarm()
	if err != nil {
		s.count(string(closedWriteFailed))
		return false
	}
	return true
}

// rejectRequest answers a request that is malformed or timed out. It ends the connection, because the start of the next
// request is unknown. A request that ended early because the client disconnected is not answered.
func (c *conn) rejectRequest(err error) {
	var rejected *Error
	if errors.Is(err, os.ErrDeadlineExceeded) {
		rejected = &Error{Status: statusRequestTimeout, Reason: "request timed out before it was complete"}
	} else if !errors.As(err, &rejected) {
		c.server.count(string(closedByClient))
		return
	}
	s := c.server
	s.count("malformed")
	s.count(rejectionReason(rejected.Status))
	s.malformedLog.Log(eventlog.RequestMalformed, s.Name, rejected.Status, rejected.Reason)
	res := &Response{Status: rejected.Status, Close: true, Body: []byte(rejected.Reason + "\n")}
	if rejected.RetryAfter != "" {
		res.Header = textproto.MIMEHeader{headerRetryAfter: {rejected.RetryAfter}}
	}
	evicted := c.wasInterrupted()
	if s.setState(c, stateLingering) && c.write(res) && !evicted {
		c.linger()
	}
}

// wasInterrupted reports whether another goroutine has ended the present state of the connection.
func (c *conn) wasInterrupted() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.interruptedFor != ""
}
