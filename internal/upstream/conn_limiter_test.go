package upstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"linkpass/internal/frame"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// startLimited starts a client with the given limiter and maximum number of streams on a connection.
func startLimited(s *sink, addr string, limiter *upstream.ConnLimiter, maxStreams int) *upstream.Client {
	config := newConfig(s)
	config.ConnectTimeout = time.Second
	config.ConnLimiter = limiter
	client := upstream.New(config, frame.Codec{MaxStreams: maxStreams}, "s-1", addr)
	client.SetAcceptsWork(true)
	return client
}

// Guards against leaked sockets and limiter slots if a dial ends while its client stops.
func TestConnLimiterSlotsAreReleased(t *testing.T) {
	srv := startServer(t)
	limiter, s := upstream.NewConnLimiter(1), newSink()
	first := startLimited(s, srv.addr(), limiter, 1)
	first.Send(attempt("a", 3, 0))
	<-srv.frames
	first.Send(attempt("b", 3, 1)) // the limiter has no slot for a second connection
	s.wantEnded(t, outcome.QueueFull)
	first.Close()
	s.wantEnded(t, outcome.ConnClosed)
	first.Wait()
	for range 20 { // some stop before their connection is open, some after
		client := startLimited(s, srv.addr(), limiter, 1)
		client.Send(attempt("c", 3, 2))
		client.Close()
		client.Wait()
	}
	last := startLimited(s, srv.addr(), limiter, 1)
	defer func() { last.Close(); last.Wait() }()
	last.Send(attempt("d", 3, 3))
	for !strings.HasPrefix(<-srv.frames, "Dd.3") {
	}
}

// If the limit is lowered below the number of open connections, a connection must be closed when it becomes idle, and
// not before.
func TestLoweredConnLimitClosesIdleConnections(t *testing.T) {
	srv := startServer(t)
	limiter, s := upstream.NewConnLimiter(2), newSink()
	client := startLimited(s, srv.addr(), limiter, 2)
	defer func() { client.Close(); client.Wait() }()
	client.Send(attempt("a", 3, 0))
	client.Send(attempt("b", 3, 1))
	<-srv.frames
	<-srv.frames
	netConn := <-srv.conns
	limiter.SetLimit(0)
	reply(netConn, "a.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	reply(netConn, "b.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	if _, err := netConn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from an idle connection over the limit: error = %v, want io.EOF", err)
	}
	client.Send(attempt("c", 3, 2))
	s.wantEnded(t, outcome.QueueFull)
	limiter.SetLimit(1)
	client.Send(attempt("d", 3, 3))
	<-srv.frames
}
