package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"linkpass/internal/metrics"
)

func TestServerKeepsConnsAliveAndDrains(t *testing.T) {
	entered := make(chan string)
	release := map[string]chan struct{}{}
	for _, path := range []string{"/0", "/1", "/last", "/other"} {
		release[path] = make(chan struct{})
	}
	s, addr := startServer(t, func(_ context.Context, _ time.Duration, req *Request) *Response {
		entered <- req.Path
		<-release[req.Path]
		return &Response{Status: 200, Body: req.Body}
	}, 2)
	client, r := dial(t, addr)
	send := func(path string) {
		_ = WriteRequest(client, "POST", path, "x", nil, []byte("hello"))
		if got := <-entered; got != path {
			t.Fatalf("handler got path %q, want %q", got, path)
		}
	}
	for i := range 2 {
		path := fmt.Sprint("/", i)
		send(path)
		release[path] <- struct{}{}
		if res, err := r.Response(); err != nil || string(res.Body) != "hello" || res.Close {
			t.Fatalf("response = %+v, error = %v, want body \"hello\" on a connection that stays open", res, err)
		}
	}
	send("/last")
	busy, busyReader := dial(t, addr)
	_ = WriteRequest(busy, "POST", "/other", "x", nil, nil)
	<-entered
	rejected, rejectedReader := dial(t, addr)
	if res, err := rejectedReader.Response(); err != nil || res.Status != 503 || !res.Close {
		t.Errorf("beyond MaxConns: response = %+v, error = %v, want a last response with status 503", res, err)
	}
	_ = rejected.Close()
	release["/last"] <- struct{}{}
	if _, err := r.Response(); err != nil {
		t.Fatal(err)
	}
	for !s.hasConnIn(stateIdle) {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	s.Resume() // the sweep of the first drain must have no effect
	s.Clock.(*fakeClock).advance(drainIdleGrace)
	s.Drain()
	s.Clock.(*fakeClock).advance(drainIdleGrace - 1) // an idle connection may carry one more request
	send("/last")
	release["/last"] <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("request during the drain: response = %+v, error = %v, want a last response with status 200", res, err)
	}
	_ = client.Close()
	for s.connCount() > 1 { // the server lingers until the client closes
		time.Sleep(time.Millisecond)
	}
	client, r = dial(t, addr) // a connection that sends nothing must be closed by a sweep
	for !s.hasConnIn(stateNew) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*fakeClock).advance(drainIdleGrace)
	s.Clock.(*fakeClock).advance(drainSweepInterval)
	if err := r.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("silent connection: error = %v, want EOF", err)
	}
	release["/other"] <- struct{}{} // its request was read before the drain
	if res, err := busyReader.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("read before the drain: response = %+v, error = %v, want a last response with status 200", res, err)
	}
}

// A request that has arrived when its connection is interrupted by a drain must still be served.
func TestDrainServesRequestThatHasArrived(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{
		Name: "test", Handler: HandlerFunc(answerOK), Clock: new(fakeClock), Counters: metrics.NewCounters(), MaxConns: 9,
	}
	client, r := dial(t, ln.Addr().String())
	_ = WriteRequest(client, "GET", "/", "x", nil, nil)
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &conn{Conn: accepted, server: s, readAhead: readAhead{Conn: accepted, now: s.Clock.Now}}
	for !c.hasUnreadBytes() {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	c.interruptRead()
	if admitted, _ := s.admit(c); !admitted {
		t.Fatal("admit = false, want true")
	}
	done := make(chan struct{})
	go func() { defer close(done); c.serve() }()
	if res, err := r.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("response = %+v, error = %v, want a last response with status 200", res, err)
	}
	_ = client.Close()
	<-done
}

// Bytes may arrive before, during and after the close of an idle connection. A request that has begun to arrive when
// the wait ends must be served; later bytes must be discarded, and the client must see the end without a reset.
func TestDrainWithBytesAroundIdleClose(t *testing.T) {
	n, h := newCountingHandler(closedChan())
	s, addr := startServer(t, h, 9)
	idleConn := func() (net.Conn, *Reader) {
		client, r := dial(t, addr)
		_ = WriteRequest(client, "POST", "/", "x", nil, nil)
		if res, err := r.Response(); err != nil || res.Close {
			t.Fatalf("response = %+v, error = %v, want a connection that stays open", res, err)
		}
		return client, r
	}
	after, afterReader := idleConn()
	waitUntil(t, "an idle connection", func() bool { return s.hasConnIn(stateIdle) })
	s.Drain()
	s.Clock.(*fakeClock).advance(drainIdleGrace)
	waitUntil(t, "the end of the connection", func() bool { return s.hasConnIn(stateLingering) })
	_, _ = io.WriteString(after, sizedRequest)
	if err := afterReader.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("connection ended with %v, want EOF", err)
	}
	_ = after.Close()
	waitUntil(t, "the close", func() bool { return s.connCount() == 0 })
	if n.Load() != 1 {
		t.Errorf("%d requests were served, want 1: the request after the shutdown must be discarded", n.Load())
	}
	s.Resume()
	incomplete, incompleteReader := idleConn()
	_, _ = io.WriteString(incomplete, sizedRequest[:len(sizedRequest)-1]) // without the last byte
	waitUntil(t, "an incomplete request", func() bool { return s.hasConnIn(stateReading) })
	s.Drain()
	s.Clock.(*fakeClock).advance(drainIdleGrace)
	_, _ = io.WriteString(incomplete, sizedRequest[len(sizedRequest)-1:]+sizedRequest) // the rest, and another request
	expectLastResponse(t, incompleteReader, 200)
	_ = incomplete.Close()
	s.Resume()
	stuck, stuckReader := idleConn()
	_, _ = io.WriteString(stuck, sizedRequest[:len(sizedRequest)-1])
	waitUntil(t, "an incomplete request", func() bool { return s.hasConnIn(stateReading) })
	s.Drain()
	s.Clock.(*fakeClock).advance(stuckRequestAge)
	expectLastResponse(t, stuckReader, 408)
	if n.Load() != 4 {
		t.Errorf("%d requests were served, want 4", n.Load())
	}
}

// Stop interrupts idle connections only once. A connection whose response is being written at that time must end too
// when it becomes idle.
func TestStopEndsConnThatBecomesIdle(t *testing.T) {
	s := &Server{Name: "test", Clock: new(fakeClock), stopped: true}
	serverSide, clientSide := net.Pipe()
	defer clientSide.Close()
	c := &conn{Conn: serverSide, server: s, state: stateServing, readAhead: readAhead{Conn: serverSide, now: s.Clock.Now}}
	if !s.setState(c, stateIdle) {
		t.Fatal("setState = false, want true: the connection was not evicted")
	}
	if err := c.awaitRequest(NewReader(&c.readAhead, 0), IdleTimeout); err == nil {
		t.Error("awaitRequest returned no error after Stop")
	}
}
