package http1

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against clients that only connect, or stay idle, and keep others out.
func TestServerEvictsIdleAndSilentConns(t *testing.T) {
	s, addr := startServer(t, answerOK, 2)
	send := func(client net.Conn, r *Reader) {
		t.Helper()
		_ = WriteRequest(client, "POST", "/", "x", nil, nil)
		if res, err := r.Response(); err != nil || res.Status != 200 {
			t.Fatalf("%+v %v", res, err)
		}
		for s.hasConnIn(stateServing) {
			time.Sleep(time.Millisecond)
		}
	}
	kept, keptReader := dial(t, addr)
	send(kept, keptReader)
	_, silent := dial(t, addr)
	for !s.hasConnIn(stateNew) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*fakeClock).advance(silentConnAge)
	send(dial(t, addr))
	if err := silent.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection stayed: %v", err)
	}
	send(kept, keptReader) // has been idle for less time than the third
	send(dial(t, addr))
	send(dial(t, addr))
	_, other := dial(t, addr)
	for !s.hasConnIn(stateNew) {
		time.Sleep(time.Millisecond)
	}
	s.SetMaxConns(0) // connections that await a request are closed
	if err := other.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("a connection beyond the limit stayed: %v", err)
	}
	if n := s.Counters.Get("test_conns_evicted"); n != 4 || s.Counters.Get("test_conns_over") != 0 {
		t.Error(s.Counters)
	}
}

// Crossing: an idle connection is chosen for eviction after its next request was read off the socket.
func TestEvictionSparesRequestAlreadyRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n, h := newCountingHandler(closedChan())
	interrupted := make(chan struct{}, 99)
	s, addr := startServerOn(t, interruptListener{ln, interrupted}, h, 1)
	client, r := dial(t, addr)
	_ = WriteRequest(client, "POST", "/", "x", nil, nil)
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Fatalf("%+v %v", res, err)
	}
	waitUntil(t, "an idle connection", func() bool { return s.hasConnIn(stateIdle) })
	for len(interrupted) > 0 {
		<-interrupted
	}
	hold, c := make(chan struct{}), s.Clock.(*fakeClock)
	c.mu.Lock()
	c.hold = hold
	c.mu.Unlock()
	_, _ = io.WriteString(client, sizedRequest)
	<-hold // the request is read, its deadline not yet disarmed
	other, otherReader := dial(t, addr)
	<-interrupted // it is chosen for eviction
	c.mu.Lock()
	c.hold = nil
	c.mu.Unlock()
	hold <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("the request that was read: %+v %v", res, err)
	}
	_ = WriteRequest(other, "POST", "/", "x", nil, nil)
	if _, err := otherReader.Response(); err != nil { // either status
		t.Error(err)
	}
	if n.Load() < 2 {
		t.Errorf("%d requests were served", n.Load())
	}
}

// interruptListener accepts connections that report when their wait is interrupted, or they are closed.
type interruptListener struct {
	net.Listener
	interrupted chan struct{}
}

type interruptConn struct {
	*net.TCPConn
	interrupted chan struct{}
}

func (l interruptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return interruptConn{conn.(*net.TCPConn), l.interrupted}, nil
}

func (c interruptConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() {
		c.interrupted <- struct{}{}
	}
	return err
}

func (c interruptConn) Close() error {
	c.interrupted <- struct{}{}
	return c.TCPConn.Close()
}
