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

// conn is one connection. Its goroutine, started by Server.Serve, reads, responds and closes it. Others may only
// interrupt its wait for bytes, or close it: once it lingers to evict it, at any time in Server.Close.
type conn struct {
	net.Conn
	server    *Server
	readAhead readAhead

	// Guarded by the server's mutex. Only the connection's goroutine leaves a state, but for stateEvicted.
	state      connState
	stateSince time.Duration
	stateSeq   int // counts the states; a deadline armed for an earlier one is void
}

// interruptRead ends the wait for bytes; it never blocks. Whether the connection is then closed is up to its goroutine.
func (c *conn) interruptRead() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// hasUnreadBytes reports whether the socket holds bytes that were not read yet.
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

// serve reads and answers requests one after another, and closes the connection.
func (c *conn) serve() {
	defer c.release()
	reader := NewReader(&c.readAhead, c.server.MaxBody)
	reader.NewBodySink = c.server.NewBodySink
	for first := true; c.serveNext(reader, first); first = false {
	}
}

// release closes the connection and takes it off its server.
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

// serveNext reads and answers one request, and reports whether the connection may carry another.
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
	began := s.Clock.Now()
	if !first {
		deadline = began + RequestTimeout
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
	if !c.respond(began, req) {
		c.shutdown()
		return false
	}
	return s.setState(c, stateIdle)
}

// awaitRequest waits for a request's first byte. Bytes that have arrived when the wait is interrupted are a request:
// guards one that crosses the end of its connection.
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

func (c *conn) readRequest(reader *Reader, deadline time.Duration) (*Request, error) {
	disarm := c.armReadTimeout(deadline)
	defer disarm()
	return reader.Request()
}

// respond serves one request and reports whether the connection may carry another.
func (c *conn) respond(began time.Duration, req *Request) (reusable bool) {
	s := c.server
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	readAheadDone := c.startReadAhead(cancel)
	res := s.Handler.Serve(ctx, began, req)
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

// startReadAhead reads what the client sends meanwhile, and calls onDisconnect once it has disconnected. done is closed
// when its goroutine has ended, which interruptRead brings about.
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

// write writes a response, and reports whether it was written. The connection is closed after WriteTimeout.
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

// rejectRequest answers a request that is malformed or took too long, and ends the connection, whose framing is lost.
// One that was cut short is not answered.
func (c *conn) rejectRequest(err error) {
	var rejected *Error
	if errors.Is(err, os.ErrDeadlineExceeded) {
		rejected = &Error{Status: statusRequestTimeout, Reason: "the request took too long to come"}
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
