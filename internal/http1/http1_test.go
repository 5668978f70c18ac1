package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"

	"linkpass/internal/metrics"
)

const (
	sized   = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunked = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\n"
)

func TestRequests(t *testing.T) {
	r := NewReader(strings.NewReader(sized+chunked), 0)
	for range 2 {
		req, err := r.Request()
		if err != nil || req.Method != "POST" || req.Path != "/a" || req.Query != "b=c" || string(req.Body) != "hello" || req.Close {
			t.Fatalf("%+v %v", req, err)
		}
	}
	head := "POST / HTTP/1.1\r\nHost: x\r\n"
	for text, status := range map[string]int{
		"POST /\r\n\r\n":                     400,
		"POST / HTTP/2.0\r\n\r\n":            505,
		"P@ST / HTTP/1.1\r\nHost: x\r\n\r\n": 400,
		"POST / HTTP/1.1\r\n\r\n":            400,
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n":          400,
		head + "Content-Length: -5\r\n\r\n":                              400,
		head + "Content-Length: 65537\r\n\r\n":                           413,
		head + "Transfer-Encoding: gzip\r\n\r\n":                         501,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                400,
		head + "Transfer-Encoding: chunked\r\n\r\n20000\r\n":             413,
		head + "Bad header\r\n\r\n":                                      400,
		head + "X: " + strings.Repeat("y", MaxHeader) + "\r\n\r\n":       431,
		"POST /" + strings.Repeat("y", MaxHeader+5000) + " HTTP/1.1\r\n": 431,
	} {
		_, err := NewReader(strings.NewReader(text), 0).Request()
		var bad *Error
		if !errors.As(err, &bad) || bad.Status != status {
			t.Errorf("%.60q: %v, want %d", text, err, status)
		}
	}
}

func TestResponses(t *testing.T) {
	var b bytes.Buffer
	_ = WriteResponse(&b, &Response{Status: 429, Header: map[string][]string{"Retry-After": {"0.25"}}, Body: []byte("no"), Close: true})
	res, err := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 100 Continue\r\n\r\n"), &b), 0).Response()
	if err != nil || res.Status != 429 || res.Header.Get("Retry-After") != "0.25" || string(res.Body) != "no" || !res.Close {
		t.Fatalf("%+v %v", res, err)
	}
	if res, err := NewReader(strings.NewReader("HTTP/1.0 200 OK\r\n\r\nuntil the end"), 0).Response(); err != nil || string(res.Body) != "until the end" {
		t.Errorf("%+v %v", res, err)
	}
}

func TestCutsAndGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SampledFrom([]string{sized, chunked}).Draw(t, "whole")
		cut := whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "at")]
		if req, err := NewReader(strings.NewReader(cut), 0).Request(); err == nil {
			t.Fatalf("took the cut %q as %+v", cut, req)
		}
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		_, _ = NewReader(bytes.NewReader(garbage), 0).Request()
		_, _ = NewReader(bytes.NewReader(garbage), 0).Response()
		_, _ = NewReader(bytes.NewReader(append([]byte(whole[:strings.Index(whole, "\r\n\r\n")+4]), garbage...)), 0).Request()
	})
}

// at tells whether a connection is at a state.
func (s *Server) at(what state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == what {
			return true
		}
	}
	return false
}

// held tells how many connections have a place.
func (s *Server) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// clock stands still unless a test moves it on; what falls due then fires.
type clock struct {
	mu   sync.Mutex
	now  time.Duration
	late bool // what was disarmed fires all the same, as with a clock that is told too late
	due  map[*time.Duration]func()
	hold chan struct{} // nil: disarming does not wait; otherwise it is told of, and waits for a second word
}

func (c *clock) Now() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *clock) Arm(at time.Duration, fire func()) (disarm func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at <= c.now { // as with any clock: what is due already is not waited for
		go fire()
		return func() {}
	}
	if c.due == nil {
		c.due = map[*time.Duration]func(){}
	}
	c.due[&at] = fire
	return func() {
		c.mu.Lock()
		hold := c.hold
		c.mu.Unlock()
		if hold != nil {
			hold <- struct{}{}
			<-hold
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.late {
			delete(c.due, &at)
		}
	}
}
func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	c.now += d
	var due []func()
	for at, fire := range c.due {
		if *at <= c.now {
			due = append(due, fire)
			delete(c.due, at)
		}
	}
	c.mu.Unlock()
	for _, fire := range due {
		fire()
	}
}

// serve starts a server whose handler hands each request to the test.
func serve(t *testing.T, h HandlerFunc, conns int, changes ...func(*Server)) (*Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveOn(t, ln, h, conns, changes...)
}

func serveOn(t *testing.T, ln net.Listener, h HandlerFunc, conns int, changes ...func(*Server)) (*Server, string) {
	s := &Server{Name: "test", Handler: h, Clock: new(clock), Counters: metrics.NewCounters(), MaxConns: conns}
	for _, change := range changes {
		change(s)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); s.Stop(); <-done })
	return s, ln.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *Reader) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc, NewReader(nc, 0)
}

func TestServerKeepsConnectionsAndDrains(t *testing.T) {
	entered := make(chan string)
	leave := map[string]chan struct{}{"/0": make(chan struct{}), "/1": make(chan struct{}), "/last": make(chan struct{}), "/other": make(chan struct{})}
	s, addr := serve(t, func(_ context.Context, _ time.Duration, req *Request) *Response {
		entered <- req.Path
		<-leave[req.Path]
		return &Response{Status: 200, Body: req.Body}
	}, 2)
	nc, r := dial(t, addr)
	ask := func(path string) {
		_ = WriteRequest(nc, "POST", path, "x", nil, []byte("hello"))
		if got := <-entered; got != path {
			t.Fatalf("entered %q", got)
		}
	}
	for i := range 2 {
		path := fmt.Sprint("/", i)
		ask(path)
		leave[path] <- struct{}{}
		if res, err := r.Response(); err != nil || string(res.Body) != "hello" || res.Close {
			t.Fatalf("%+v %v", res, err)
		}
	}
	ask("/last")
	busy, busyReader := dial(t, addr)
	_ = WriteRequest(busy, "POST", "/other", "x", nil, nil)
	<-entered
	// With a request open on every place there is no room.
	over, overReader := dial(t, addr)
	if res, err := overReader.Response(); err != nil || res.Status != 503 || !res.Close {
		t.Errorf("past the cap: %+v %v", res, err)
	}
	_ = over.Close()
	leave["/last"] <- struct{}{}
	if _, err := r.Response(); err != nil {
		t.Fatal(err)
	}
	for !s.at(idle) {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	s.Resume() // all as before: the time of the first drain is void
	s.Clock.(*clock).pass(idleGrace)
	s.Drain()
	s.Clock.(*clock).pass(idleGrace - 1) // an idle connection may be used once more
	ask("/last")
	leave["/last"] <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("within the drain: %+v %v", res, err)
	}
	_ = nc.Close()     // told that it is the last answer; until then the server only reads on
	for s.held() > 1 { // the one that has ended must leave its place first
		time.Sleep(time.Millisecond)
	}
	nc, r = dial(t, addr) // one that says nothing is closed a little later
	for !s.at(fresh) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*clock).pass(idleGrace)
	s.Clock.(*clock).pass(drainSweep)
	if err := r.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection stayed: %v", err)
	}
	leave["/other"] <- struct{}{} // what was taken before the drain is still answered, and is the last
	if res, err := busyReader.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("after the drain: %+v %v", res, err)
	}
}

func TestServerTellsWhatIsMalformedAndSeesClientsGo(t *testing.T) {
	gone := make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, _ time.Duration, _ *Request) *Response {
		<-ctx.Done()
		close(gone)
		return &Response{Status: 200}
	}, 9)
	nc, r := dial(t, addr)
	_, _ = io.WriteString(nc, "nonsense\r\n\r\n")
	if res, err := r.Response(); err != nil || res.Status != 400 || !res.Close {
		t.Errorf("%+v %v", res, err)
	}
	if err := r.Wait(); err == nil {
		t.Error("the connection stayed open though its framing is lost")
	}
	if s.Counters.Get("test_malformed") != 1 {
		t.Error(s.Counters)
	}
	nc, _ = dial(t, addr)
	_ = WriteRequest(nc, "POST", "/", "x", nil, nil)
	_ = nc.Close()
	<-gone
}

// Clients that only connect, or asked once and stay, must not keep the others out:
// with every place taken, one that is not at work makes room.
func TestThoseNotAtWorkMakeRoom(t *testing.T) {
	s, addr := serve(t, func(context.Context, time.Duration, *Request) *Response { return &Response{Status: 200} }, 2)
	ask := func(nc net.Conn, r *Reader) {
		t.Helper()
		_ = WriteRequest(nc, "POST", "/", "x", nil, nil)
		if res, err := r.Response(); err != nil || res.Status != 200 {
			t.Fatalf("%+v %v", res, err)
		}
		for s.at(serving) {
			time.Sleep(time.Millisecond)
		}
	}
	stays, staying := dial(t, addr)
	ask(stays, staying)
	_, silent := dial(t, addr)
	for !s.at(fresh) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*clock).pass(silentLimit)
	ask(dial(t, addr))
	if err := silent.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection stayed: %v", err)
	}
	ask(stays, staying) // is idle for less time now than the third
	ask(dial(t, addr))
	ask(dial(t, addr))
	_, other := dial(t, addr)
	for !s.at(fresh) {
		time.Sleep(time.Millisecond)
	}
	s.SetMaxConns(0) // the limit falls: those not at work go
	if err := other.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("a connection past the limit stayed: %v", err)
	}
	if n := s.Counters.Get("test_conns_evicted"); n != 4 || s.Counters.Get("test_conns_over") != 0 {
		t.Error(s.Counters)
	}
}

// A request that never comes whole is answered and closed in time, and silence is closed.
func TestSlowAndSilentClientsAreBounded(t *testing.T) {
	s, addr := serve(t, func(context.Context, time.Duration, *Request) *Response { return &Response{Status: 200} }, 9)
	half, halfReader := dial(t, addr)
	_, silent := dial(t, addr)
	_, _ = io.WriteString(half, "POST / HTTP/1.1\r\nHost: x\r\n")
	for !s.at(reading) || !s.at(fresh) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*clock).pass(FirstRequestTimeout)
	if res, err := halfReader.Response(); err != nil || res.Status != 408 || !res.Close {
		t.Errorf("half a request: %+v %v", res, err)
	}
	if err := silent.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection stayed: %v", err)
	}
}

// A request that arrived just as its connection was to be closed as idle is served.
func TestARequestOnItsWayOutlivesTheCloseOfIdleConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{Name: "test", Clock: new(clock), Counters: metrics.NewCounters(), MaxConns: 9,
		Handler: HandlerFunc(func(context.Context, time.Duration, *Request) *Response { return &Response{Status: 200} })}
	nc, r := dial(t, ln.Addr().String())
	_ = WriteRequest(nc, "GET", "/", "x", nil, nil)
	there, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &conn{Conn: there, server: s, ahead: ahead{Reader: there}}
	for !c.pending() {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	c.expire()
	if !s.enter(c) {
		t.Fatal("no room")
	}
	done := make(chan struct{})
	go func() { defer close(done); c.serve() }()
	if res, err := r.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("%+v %v", res, err)
	}
	_ = nc.Close()
	<-done
}
