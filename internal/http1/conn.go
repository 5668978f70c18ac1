package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"syscall"
	"time"

	"linkpass/internal/eventlog"
)

// conn is one connection. Its own goroutine reads, answers and closes it; others may only end
// its wait for bytes (expire) or, to free its place, close it.
type conn struct {
	net.Conn
	server *Server
	ahead  ahead
	state  state // with since and phase guarded by the server's mutex; only its own goroutine leaves a state
	since  time.Duration
	phase  int // grows with each state: what was armed for an earlier one is void
}

// expire ends the wait for bytes; it never blocks. Whether the connection is then
// closed is up to its own goroutine.
func (c *conn) expire() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// arm lets the state that a connection is in end at a time. It guards the next state against
// a limit that falls due as the state ends: clocks may fire after they were disarmed.
func (c *conn) arm(at time.Duration) (disarm func()) {
	phase := c.phase
	return c.server.Clock.Arm(at, func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		if c.phase == phase {
			c.expire()
		}
	})
}

// pending tells whether bytes wait that were not read yet.
func (c *conn) pending() (some bool) {
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
		some = err == nil && n > 0
	})
	return some
}

// serve reads and answers requests one after another.
func (c *conn) serve() {
	s := c.server
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		c.phase++
		s.moved.Broadcast()
		s.mu.Unlock()
		s.wg.Done()
	}()
	reader := NewReader(&c.ahead, s.MaxBody)
	reader.NewBodySink = s.NewBodySink
	limit := s.Clock.Now() + FirstRequestTimeout
	for first := true; ; first = false {
		if !first {
			limit = s.Clock.Now() + IdleTimeout
		}
		if c.await(reader, limit) != nil {
			c.part()
			return
		}
		if !s.mark(c, reading) {
			return
		}
		began := s.Clock.Now()
		if !first {
			limit = began + RequestTimeout
		}
		disarm := c.arm(limit)
		req, err := reader.Request()
		disarm()
		if err != nil {
			c.complain(err)
			return
		}
		if !s.mark(c, serving) {
			return
		}
		s.Counters.Add(s.Name+"_requests", 1)
		if !c.answer(began, req) {
			c.part()
			return
		}
		if !s.mark(c, idle) {
			return
		}
	}
}

// await waits for a request's first byte. Here it is decided whether a request that crosses
// the end of its connection is taken: what has come when the wait was ended is.
func (c *conn) await(reader *Reader, limit time.Duration) error {
	disarm := c.arm(limit)
	defer disarm()
	err := reader.Wait()
	for errors.Is(err, os.ErrDeadlineExceeded) && c.pending() {
		_ = c.SetReadDeadline(time.Time{})
		err = reader.Wait()
	}
	return err
}

// answer answers one request and tells whether the connection may carry another. What
// the client sends meanwhile is read, which shows at once when it goes away.
func (c *conn) answer(began time.Duration, req *Request) (alive bool) {
	s := c.server
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if err := c.ahead.fill(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			gone()
		}
	}()
	res := s.Handler.Serve(ctx, began, req)
	if req.BodySink != nil {
		req.BodySink.Abort() // whatever the handler has made use of stays
	}
	if ctx.Err() != nil {
		s.Counters.Add(s.Name+"_unread", 1)
	} else {
		res.Close = res.Close || req.Close || s.Draining()
		alive = c.write(res) && !res.Close
	}
	c.expire()
	<-watched
	return alive
}

func (c *conn) write(res *Response) bool {
	disarm := c.server.Clock.Arm(c.server.Clock.Now()+WriteTimeout, func() { _ = c.Close() })
	err := WriteResponse(c, res)
	disarm()
	if err != nil {
		c.server.Counters.Add(c.server.Name+"_write_failed", 1)
		return false
	}
	return true
}

// complain tells a client what was wrong with a request whose framing is lost,
// or that it took too long.
func (c *conn) complain(err error) {
	var bad *Error
	if errors.Is(err, os.ErrDeadlineExceeded) {
		bad = &Error{Status: 408, Reason: "the request took too long to come"}
	} else if !errors.As(err, &bad) {
		return // cut short: nobody is there to be told
	}
	c.server.Counters.Add(c.server.Name+"_malformed", 1)
	c.server.lines.Log(eventlog.RequestMalformed, c.server.Name, bad.Status, bad.Reason)
	res := &Response{Status: bad.Status, Close: true, Body: []byte(bad.Reason + "\n")}
	if bad.RetryAfter != "" {
		res.Header = textproto.MIMEHeader{"Retry-After": {bad.RetryAfter}}
	}
	if c.server.mark(c, parting) && c.write(res) {
		c.linger()
	}
}

// part ends a connection in good order. From here on nothing that is read is a request.
func (c *conn) part() {
	if c.server.mark(c, parting) {
		c.linger()
	}
}

// linger half-closes and reads on for a moment before the close: closed over bytes
// unread, a connection is reset, and the client loses what it was told last. What is
// read, and for how long, is bounded.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	disarm := c.arm(c.server.Clock.Now() + lingerLimit)
	defer disarm()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// ahead reads a connection. While a request is answered it reads on, up to a bound, so that a
// client that leaves is seen also behind bytes that it sent before.
type ahead struct {
	io.Reader
	kept []byte // read, and not yet asked for
	buf  [512]byte
}

// fill reads on until an error, or nil where the bound is reached.
func (a *ahead) fill() error {
	for len(a.kept) < aheadLimit {
		n, err := a.Reader.Read(a.buf[:min(len(a.buf), aheadLimit-len(a.kept))])
		a.kept = append(a.kept, a.buf[:n]...)
		if err != nil {
			return err
		}
	}
	return nil
}

// Read gives what was kept first.
func (a *ahead) Read(p []byte) (int, error) {
	if len(a.kept) == 0 {
		return a.Reader.Read(p)
	}
	n := copy(p, a.kept)
	if a.kept = a.kept[n:]; len(a.kept) == 0 {
		a.kept = nil
	}
	return n, nil
}
