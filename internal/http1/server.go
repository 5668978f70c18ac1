package http1

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"linkpass/internal/counters"
	"linkpass/internal/event"
)

// Handler answers requests. began is when the request's first byte was seen;
// the context ends when the client has gone. One answer is written for each.
type Handler interface {
	Serve(ctx context.Context, began time.Duration, req *Request) *Response
}

// HandlerFunc is a function that answers requests.
type HandlerFunc func(ctx context.Context, began time.Duration, req *Request) *Response

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, began time.Duration, req *Request) *Response {
	return f(ctx, began, req)
}

// Clock is the shared clock with its deadlines.
type Clock interface {
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
}

// Time limits of a connection. Those who connect and say nothing, or say it drop
// by drop, are told or closed within them, whatever they send.
const (
	FirstLimit   = 2500 * time.Millisecond // from connecting to the last byte of the first request
	MessageLimit = 2 * time.Second         // from a later request's first byte to its last
	IdleLimit    = 30 * time.Second        // between requests
	WriteLimit   = 5 * time.Second
	lingerLimit  = 500 * time.Millisecond // for a client to read why it is closed
	lingerBytes  = 256 << 10              // of what it still sends are read meanwhile
	silentLimit  = 250 * time.Millisecond // a new connection that has said nothing for so long goes first
	stuckLimit   = time.Second            // a request so long on its way makes room for others

	// While the server drains: idle connections have so long to be used once more, and
	// a look is taken so often at those that say nothing or do not come to an end.
	idleGrace  = 400 * time.Millisecond
	drainSweep = 200 * time.Millisecond
)

// Server serves one listener.
type Server struct {
	Name     string // of the front, for the log
	Handler  Handler
	Clock    Clock
	Counters *counters.Set
	MaxConns int
	MaxBody  int64
	Spools   func(*Request) Spool // of large bodies; nil: they lie in memory

	lines    event.Lines // on requests that can't be read
	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	round    int // of draining: what was armed in an earlier one is void
	stopped  bool
	wg       sync.WaitGroup
}

// state is what a connection is at.
type state uint8

const (
	fresh   state = iota // nothing has come yet
	idle                 // between two requests
	reading              // a request has begun to come
	serving              // a request is being answered
	closing              // ended, or to be ended by its own goroutine
)

type conn struct {
	net.Conn
	server *Server
	state  state // with since guarded by the server's mutex
	since  time.Duration
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Guards against a shortage of descriptors: it passes, the listener stays.
			event.AcceptFailed.Log(s.Name, err)
			s.Counters.Add(s.Name+"_accept_failed", 1)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.Counters.Add(s.Name+"_conns", 1)
		c := &conn{Conn: nc, server: s, since: s.Clock.Now()}
		if !s.enter(c) {
			s.Counters.Add(s.Name+"_conns_over", 1)
			_ = WriteResponse(nc, &Response{Status: 503, Close: true}) // a new connection has room for so little
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

// enter takes a connection in. Where all places are taken, one that is not at
// work makes room: guards the clients that ask against those that only connect,
// or asked once and stay.
func (s *Server) enter(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	if len(s.conns) >= s.MaxConns && !s.evict() {
		return false
	}
	s.conns[c] = true
	s.wg.Add(1)
	return true
}

// evict closes the connection that can best be spared: a new one that stays
// silent, then the one idle for longest, then any new one, then one whose
// request has been coming for too long. It tells whether there was one.
func (s *Server) evict() bool {
	now := s.Clock.Now()
	rank := func(c *conn) int {
		switch age := now - c.since; {
		case c.state == fresh && age >= silentLimit:
			return 4
		case c.state == idle:
			return 3
		case c.state == fresh:
			return 2
		case c.state == reading && age >= stuckLimit:
			return 1
		}
		return 0
	}
	var victim *conn
	best := 0
	for c := range s.conns {
		if r := rank(c); r > best || r == best && r > 0 && c.since < victim.since {
			victim, best = c, r
		}
	}
	if victim == nil {
		return false
	}
	s.Counters.Add(s.Name+"_conns_evicted", 1)
	s.end(victim)
	return true
}

// end closes a connection that is not at work; its place is free at once.
func (s *Server) end(c *conn) {
	c.state = closing
	delete(s.conns, c)
	_ = c.Close()
}

// mark notes what a connection is at, and tells whether it may go on.
func (s *Server) mark(c *conn, to state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == closing || s.draining && to == idle {
		return false
	}
	c.state, c.since = to, s.Clock.Now()
	if to == reading {
		_ = c.SetReadDeadline(time.Time{}) // what was to end the wait must not end the request
	}
	return true
}

// Limit sets how many connections there may be. Beyond it, those that wait for nothing
// are closed, the one idle for longest first.
func (s *Server) Limit(conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConns = conns
	var spare []*conn
	for c := range s.conns {
		if c.state == fresh || c.state == idle {
			spare = append(spare, c)
		}
	}
	slices.SortFunc(spare, func(a, b *conn) int { return cmp.Compare(a.since, b.since) })
	for _, c := range spare[:min(len(spare), max(0, len(s.conns)-conns))] {
		c.expire()
	}
}

// Drain makes every answer the last of its connection. New connections are still
// served; those that stay idle are closed a little later.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.round++
	s.sweepAfter(idleGrace, s.round)
}

// Resume keeps connections again.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.stopped
	s.round++
}

// sweepAfter arranges for the next look at the connections of a draining server.
func (s *Server) sweepAfter(wait time.Duration, round int) {
	s.Clock.Arm(s.Clock.Now()+wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.round == round && !s.stopped {
			s.sweep()
			s.sweepAfter(drainSweep, round)
		}
	})
}

// sweep ends what would otherwise stay: idle connections, new ones that have said
// nothing for long enough, requests that do not come to their end.
func (s *Server) sweep() {
	now := s.Clock.Now()
	for c := range s.conns {
		switch age := now - c.since; {
		case c.state == idle, c.state == fresh && age >= idleGrace, c.state == reading && age >= stuckLimit:
			c.expire()
		}
	}
}

// Stop waits until all connections have ended: each after the answer to what it has
// begun to ask. Serve must have returned.
func (s *Server) Stop() {
	s.mu.Lock()
	s.draining, s.stopped = true, true
	for c := range s.conns {
		if c.state == fresh || c.state == idle {
			c.expire()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Close closes all connections, whatever they are at, and waits until they have ended.
// Serve must have returned. It needs the clock no more.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Draining tells whether the server is about to stop.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// expire ends the wait for bytes; it never blocks. Whether the connection is then
// closed is up to its own goroutine.
func (c *conn) expire() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

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

// serve reads requests one after another. While one is being answered the next
// byte is awaited, which shows at once when the client goes away.
func (c *conn) serve() {
	s := c.server
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.wg.Done()
	}()
	reader := NewReader(c, s.MaxBody)
	reader.Spools = s.Spools
	next := make(chan error, 1)
	await := func() { next <- reader.Wait() }
	go await()
	limit := s.Clock.Now() + FirstLimit
	for first := true; ; first = false {
		if !first {
			limit = s.Clock.Now() + IdleLimit
		}
		disarm := s.Clock.Arm(limit, c.expire)
		err := <-next
		for errors.Is(err, os.ErrDeadlineExceeded) && c.pending() {
			// Guards a request on its way against the close of an idle connection.
			_ = c.SetReadDeadline(time.Time{})
			err = reader.Wait()
		}
		disarm()
		if err != nil || !s.mark(c, reading) {
			return
		}
		began := s.Clock.Now()
		if !first {
			limit = began + MessageLimit
		}
		disarm = s.Clock.Arm(limit, c.expire)
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
		ctx, gone := context.WithCancel(context.Background())
		served := make(chan bool, 1)
		go func() { served <- c.answer(ctx, began, req) }()
		go await()
		var alive bool
		select {
		case err := <-next:
			if err != nil {
				gone()
			}
			next <- err
			alive = <-served
		case alive = <-served:
		}
		gone()
		if !alive || !s.mark(c, idle) {
			_ = c.Close() // ends the wait for the next byte
			<-next
			return
		}
	}
}

// answer writes the answer to one request and tells whether the connection may
// carry another.
func (c *conn) answer(ctx context.Context, began time.Duration, req *Request) bool {
	res := c.server.Handler.Serve(ctx, began, req)
	if req.Spool != nil {
		req.Spool.Abort() // whatever the handler has made use of stays
	}
	if ctx.Err() != nil {
		c.server.Counters.Add(c.server.Name+"_unread", 1)
		return false
	}
	res.Close = res.Close || req.Close || c.server.Draining()
	return c.write(res) && !res.Close
}

func (c *conn) write(res *Response) bool {
	disarm := c.server.Clock.Arm(c.server.Clock.Now()+WriteLimit, func() { _ = c.Close() })
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
	c.server.lines.Log(event.RequestMalformed, c.server.Name, bad.Status, bad.Reason)
	res := &Response{Status: bad.Status, Close: true, Body: []byte(bad.Reason + "\n")}
	if bad.RetryAfter != "" {
		res.Header = textproto.MIMEHeader{"Retry-After": {bad.RetryAfter}}
	}
	if c.write(res) {
		c.linger()
	}
}

// linger reads on for a moment before the close: closed over bytes unread, a
// connection is reset, and the client loses what it was told. What is read, and
// for how long, is bounded.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	disarm := c.server.Clock.Arm(c.server.Clock.Now()+lingerLimit, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	defer disarm()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
