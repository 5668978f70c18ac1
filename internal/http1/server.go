package http1

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
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
	FirstRequestTimeout = 2500 * time.Millisecond // from connecting to the last byte of the first request
	RequestTimeout      = 2 * time.Second         // from a later request's first byte to its last
	IdleTimeout         = 30 * time.Second        // between requests
	WriteTimeout        = 5 * time.Second
	lingerLimit         = 500 * time.Millisecond // for a client to read the last that it is told, and to close
	lingerBytes         = 256 << 10              // of what it still sends are read meanwhile
	lingerOver          = 8                      // connections past the cap that may linger at a time
	aheadLimit          = MaxHeader + MaxBody    // bytes behind a request that are read while it is answered
	silentLimit         = 250 * time.Millisecond // a new connection that has said nothing for so long goes first
	stuckLimit          = time.Second            // a request so long on its way makes room for others

	// While the server drains: idle connections have so long to be used once more, and
	// a look is taken so often at those that say nothing or do not come to an end.
	idleGrace  = 400 * time.Millisecond
	drainSweep = 200 * time.Millisecond
)

// Server serves one listener.
type Server struct {
	Name        string // of the front, for the log
	Handler     Handler
	Clock       Clock
	Counters    *metrics.Counters
	MaxConns    int
	MaxBody     int64
	NewBodySink func(*Request) BodySink // of large bodies; nil: they lie in memory

	lines    eventlog.RateLimited // on requests that can't be read
	mu       sync.Mutex
	moved    sync.Cond // on mu: some connection has left its state, or ended
	conns    map[*conn]bool
	draining bool
	round    int // of draining: what was armed in an earlier one is void
	stopped  bool
	over     map[*conn]bool // connections past the cap that linger
	wg       sync.WaitGroup
}

// state is what a connection is at.
type state uint8

const (
	fresh   state = iota // nothing has come yet
	idle                 // between two requests
	reading              // a request has begun to come
	serving              // a request is being answered
	parting              // no request is taken any more; what still comes is read and dropped
	closing              // parted, and closed by another goroutine to free its place
)

// Serve accepts until the listener is closed or its deadline has passed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			// Guards against a shortage of descriptors: it passes, the listener stays.
			eventlog.AcceptFailed.Log(s.Name, err)
			s.Counters.Add(s.Name+"_accept_failed", 1)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.Counters.Add(s.Name+"_conns", 1)
		c := &conn{Conn: nc, server: s, since: s.Clock.Now()}
		c.ahead.Reader = nc
		if !s.enter(c) {
			s.Counters.Add(s.Name+"_conns_over", 1)
			s.turnAway(c)
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
		s.conns, s.moved.L = map[*conn]bool{}, &s.mu
	}
	for len(s.conns) >= s.MaxConns {
		if !s.evict() {
			return false
		}
	}
	s.conns[c] = true
	s.wg.Add(1)
	return true
}

// turnAway tells a connection past the cap that there is no room. Its request is most likely
// there already, so that it has to linger; so many may.
func (s *Server) turnAway(c *conn) {
	_ = WriteResponse(c, &Response{Status: 503, Close: true}) // a new connection has room for so little
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.over) == lingerOver || s.stopped {
		_ = c.Close()
		return
	}
	if s.over == nil {
		s.over = map[*conn]bool{}
	}
	s.over[c] = true
	s.wg.Add(1)
	go func() {
		c.linger()
		_ = c.Close()
		s.mu.Lock()
		delete(s.over, c)
		s.mu.Unlock()
		s.wg.Done()
	}()
}

// evict frees the place of the connection that can best be spared: one that only lingers,
// a new one that stays silent, then the one idle for longest, then any new one, then one whose
// request has been coming for too long. Only one that lingers is closed here. The others are
// asked to end, and each decides for itself, at once: one that has a request by then is at work
// after all. It tells whether there was one to ask.
func (s *Server) evict() bool {
	now := s.Clock.Now()
	rank := func(c *conn) int {
		switch age := now - c.since; {
		case c.state == parting:
			return 5
		case (c.state == fresh || c.state == idle) && c.pending():
			return 0
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
	if victim.state == parting {
		victim.state = closing
		delete(s.conns, victim)
		_ = victim.Close()
		return true
	}
	victim.expire()
	for phase := victim.phase; victim.phase == phase; { // it is woken now, and leaves its state
		s.moved.Wait()
	}
	if !s.conns[victim] || victim.state == parting {
		s.Counters.Add(s.Name+"_conns_evicted", 1)
	}
	return true
}

// mark notes what a connection is at, and tells whether it may go on. What was to end the
// state before is void from here on: whichever of the two comes first holds.
func (s *Server) mark(c *conn, to state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == closing {
		return false
	}
	c.state, c.since = to, s.Clock.Now()
	c.phase++
	s.moved.Broadcast()
	_ = c.SetReadDeadline(time.Time{})
	if to == idle && s.stopped { // nobody looks at it again
		c.expire()
	}
	return true
}

// SetMaxConns sets how many connections there may be. Beyond it, those that wait for nothing
// are closed, the one idle for longest first.
func (s *Server) SetMaxConns(conns int) {
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
	s.draining, s.stopped = true, true
	for c := range s.conns {
		_ = c.Close()
	}
	for c := range s.over {
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
