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
}

// interruptRead makes reads fail with os.ErrDeadlineExceeded until the read deadline is reset. It never blocks. The
// connection's goroutine decides whether the connection is then closed.
func (c *conn) interruptRead() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

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
	for first := true; c.serveNext(reader, first); first = false {
	}
}

// release closes the connection and removes it from its server.
func (c *conn) release() {
	s := c.server
	_ = c.Close()
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
	timeout := IdleTimeout
	if first {
		timeout = FirstRequestTimeout
	}
	deadline := s.Clock.Now() + timeout
	if c.awaitRequest(reader, deadline) != nil {
		c.shutdown()
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
	s.Counters.Add(s.Name+"_requests", 1)
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

// readRequest reads a request, which must be complete by the deadline.
func (c *conn) readRequest(reader *Reader, deadline time.Duration) (*Request, error) {
	disarm := c.armReadTimeout(deadline)
	defer disarm()
	return reader.Request()
}

// respond passes a request to the handler, writes the response and reports whether the connection may carry another
// request. If the client disconnects before the handler has answered, the response is not written.
func (c *conn) respond(startedAt time.Duration, req *Request) (reusable bool) {
	s := c.server
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	readAheadDone := c.startReadAhead(cancel)
	res := s.Handler.Serve(ctx, startedAt, req)
	if req.BodySink != nil {
		req.BodySink.Abort()
	}
	if ctx.Err() != nil {
		s.Counters.Add(s.Name+"_unread", 1)
	} else {
		res.Close = res.Close || req.Close || s.Draining()
		reusable = c.write(res) && !res.Close
	}
	c.interruptRead()
	<-readAheadDone
	return reusable
}

// startReadAhead starts a goroutine that buffers what the client sends while its request is served, and calls
// onDisconnect if the client disconnects. interruptRead ends the goroutine; done is closed when it has ended.
func (c *conn) startReadAhead(onDisconnect func()) (done <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := c.readAhead.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onDisconnect()
		}
	}()
	return ended
}

// write writes a response and reports whether it succeeded. If that takes longer than WriteTimeout, the connection is
// closed and the write fails.
func (c *conn) write(res *Response) bool {
	s := c.server
	disarm := s.Clock.Arm(s.Clock.Now()+WriteTimeout, func() { _ = c.Close() })
	err := WriteResponse(c, res)
	disarm()
	if err != nil {
		s.Counters.Add(s.Name+"_write_failed", 1)
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
		return
	}
	s := c.server
	s.Counters.Add(s.Name+"_malformed", 1)
	s.malformedLog.Log(eventlog.RequestMalformed, s.Name, rejected.Status, rejected.Reason)
	res := &Response{Status: rejected.Status, Close: true, Body: []byte(rejected.Reason + "\n")}
	if rejected.RetryAfter != "" {
		res.Header = textproto.MIMEHeader{headerRetryAfter: {rejected.RetryAfter}}
	}
	if s.setState(c, stateLingering) && c.write(res) {
		c.linger()
	}
}
