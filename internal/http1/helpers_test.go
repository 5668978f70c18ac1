package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linkpass/internal/metrics"
)

const (
	sizedRequest   = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunkedRequest = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\n"
)

// waitUntil polls a condition until it is true, and fails the test after 20 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out after 20 s waiting for " + what)
		}
	}
}

func answerOK(context.Context, time.Duration, *Request) *Response { return &Response{Status: 200} }

// newCountingHandler returns a handler that counts requests and answers each one after a receive from release.
func newCountingHandler(release <-chan struct{}) (*atomic.Int64, HandlerFunc) {
	n := new(atomic.Int64)
	return n, func(context.Context, time.Duration, *Request) *Response {
		n.Add(1)
		<-release
		return &Response{Status: 200, Body: []byte("last response")}
	}
}

func closedChan() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// expectLastResponse checks that the next response has the given status and is the last one of the connection, and that
// the connection then ends without a reset.
func expectLastResponse(t *testing.T, r *Reader, status int) {
	t.Helper()
	if res, err := r.Response(); err != nil || res.Status != status || !res.Close {
		t.Errorf("response = %+v, error = %v, want a last response with status %d", res, err, status)
	}
	if err := r.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("connection ended with %v, want EOF", err)
	}
}

// hasConnIn reports whether any connection is in the given state.
func (s *Server) hasConnIn(state connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == state {
			return true
		}
	}
	return false
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// fakeClock is a Clock whose time changes only in advance, which fires the deadlines that are due.
type fakeClock struct {
	mu           sync.Mutex
	now          time.Duration
	fireDisarmed bool // deadlines fire even after they were disarmed
	deadlines    map[*time.Duration]func()
	hold         chan struct{} // if not nil, disarming a deadline sends on it and then receives from it
}

func (c *fakeClock) Now() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.now }

func (c *fakeClock) Arm(at time.Duration, fire func()) (disarm func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at <= c.now {
		go fire()
		return func() {}
	}
	if c.deadlines == nil {
		c.deadlines = map[*time.Duration]func(){}
	}
	c.deadlines[&at] = fire
	return func() { c.disarm(&at) }
}

// armedAfter returns the number of deadlines that are armed for the given time from now.
func (c *fakeClock) armedAfter(d time.Duration) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at := range c.deadlines {
		if *at == c.now+d {
			n++
		}
	}
	return n
}

func (c *fakeClock) disarm(deadline *time.Duration) {
	c.mu.Lock()
	hold := c.hold
	c.mu.Unlock()
	if hold != nil {
		hold <- struct{}{}
		<-hold
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fireDisarmed {
		delete(c.deadlines, deadline)
	}
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now += d
	var due []func()
	for at, fire := range c.deadlines {
		if *at <= c.now {
			due = append(due, fire)
			delete(c.deadlines, at)
		}
	}
	c.mu.Unlock()
	for _, fire := range due {
		fire()
	}
}

// startServer runs a server on a local port until the test ends. changes are applied before it starts.
func startServer(t *testing.T, h HandlerFunc, maxConns int, changes ...func(*Server)) (s *Server, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerOn(t, ln, h, maxConns, changes...)
}

// startServerOn is startServer on a given listener.
func startServerOn(
	t *testing.T, ln net.Listener, h HandlerFunc, maxConns int, changes ...func(*Server),
) (s *Server, addr string) {
	t.Helper()
	s = &Server{Name: "test", Handler: h, Clock: new(fakeClock), Counters: metrics.NewCounters(), MaxConns: maxConns}
	for _, change := range changes {
		change(s)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); s.Stop(); <-done })
	return s, ln.Addr().String()
}

// dial connects a client, whose connection is closed when the test ends.
func dial(t *testing.T, addr string) (net.Conn, *Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, NewReader(conn, 0)
}
