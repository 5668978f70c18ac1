package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Clients that only connect, or that stay idle, must not keep out clients that send requests: their connections are
// evicted when MaxConns is reached.
func TestServerEvictsIdleAndSilentConns(t *testing.T) {
	s, addr := startServer(t, answerOK, 2)
	send := func(client net.Conn, r *Reader) {
		t.Helper()
		_ = WriteRequest(client, "POST", "/", "x", nil, nil)
		if res, err := r.Response(); err != nil || res.Status != 200 {
			t.Fatalf("response = %+v, error = %v, want status 200", res, err)
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
		t.Errorf("silent connection: error = %v, want EOF", err)
	}
	send(kept, keptReader) // from now on idle for less time than the third connection
	send(dial(t, addr))
	send(dial(t, addr))
	_, other := dial(t, addr)
	for !s.hasConnIn(stateNew) {
		time.Sleep(time.Millisecond)
	}
	s.SetMaxConns(0) // closes the connections that wait for a request
	if err := other.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("connection beyond the limit: error = %v, want EOF", err)
	}
	if n := s.Counters.Get("test_conns_evicted"); n != 4 || s.Counters.Get("test_conns_over") != 0 {
		t.Errorf("counters: %v, want test_conns_evicted = 4 and test_conns_over = 0", s.Counters)
	}
}

// An idle connection may be chosen for eviction after its next request has been read from the socket, but before its
// state has changed. The request must be served.
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
		t.Fatalf("response = %+v, error = %v, want status 200", res, err)
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
	<-hold // the request has been read and its deadline is about to be disarmed
	other, otherReader := dial(t, addr)
	<-interrupted // the connection has been chosen for eviction
	c.mu.Lock()
	c.hold = nil
	c.mu.Unlock()
	hold <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("request that had been read: response = %+v, error = %v, want status 200", res, err)
	}
	_ = WriteRequest(other, "POST", "/", "x", nil, nil)
	if _, err := otherReader.Response(); err != nil { // status 200 or 503
		t.Errorf("second connection: error = %v, want a response", err)
	}
	if n.Load() < 2 {
		t.Errorf("%d requests were served, want at least 2", n.Load())
	}
}

// interruptListener accepts connections that send on interrupted when a read deadline is set or when they are closed.
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

// Guards against a request that was read and whose connection is then closed without an answer, on a new connection too:
// while far more clients connect than there is room for, each request that reaches the handler is answered.
func TestEvictionAnswersEachRequestRead(t *testing.T) {
	var served, answered atomic.Int64
	s, addr := startServer(t, func(context.Context, time.Duration, *Request) *Response {
		served.Add(1)
		return &Response{Status: 200}
	}, 16)
	var clients sync.WaitGroup
	for range 64 {
		clients.Go(func() {
			for range 20 {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				half := len(sizedRequest) / 2
				_, _ = io.WriteString(conn, sizedRequest[:half])
				time.Sleep(time.Millisecond) // another client may connect meanwhile
				_, _ = io.WriteString(conn, sizedRequest[half:])
				if res, err := NewReader(conn, 0).Response(); err == nil && res.Status == 200 {
					answered.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	if served.Load() != answered.Load() || served.Load() == 0 {
		t.Errorf("%d requests were read, %d answered; counters: %v", served.Load(), answered.Load(), s.Counters)
	}
}

// failingListener returns the errors that Linux documents for accept, each before a connection.
type failingListener struct {
	net.Listener
	mu     sync.Mutex
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// An accept that fails for a moment ends nothing: the server goes on, and counts it.
func TestServeGoesOnAfterAcceptErrors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failures := []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.EINTR, syscall.ENETDOWN, syscall.EHOSTUNREACH}
	s, addr := startServerOn(t, &failingListener{Listener: ln, errors: failures}, answerOK, 9)
	client, r := dial(t, addr)
	_, _ = io.WriteString(client, sizedRequest)
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("response = %+v, error = %v, want status 200", res, err)
	}
	if n := s.Counters.Get("test_accept_failed"); int(n) != len(failures) {
		t.Errorf("test_accept_failed = %d, want %d", n, len(failures))
	}
}
