package upstream_test

import (
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// Guards against new work on a connection that is stuck inside a message, which still looks usable to the operating
// system.
func TestUnresponsiveConnectionGetsNoNewWork(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	first := <-srv.conns
	_, _ = first.Write([]byte{200, 0, 0, 0, 'O'})
	client.CheckHealth(7)
	<-srv.frames
	s.waitUntilNoTimerDue(250 * time.Millisecond)
	s.advance(250 * time.Millisecond)
	client.AbandonHealthCheck(7)
	client.Send(attempt("b", 3, 1))
	<-srv.frames
	client.Cancel(coordinator.AttemptID{Part: 1, No: 0}) // leaves the first connection idle: it is dropped
	client.FirstConn()                                   // waits until the cancel is handled, before the reply is read
	reply(<-srv.conns, "b.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	client.CheckHealth(8) // is written on the second connection, which stays open
	for got := ""; got != "U"; {
		got = <-srv.frames
	}
	if len(srv.conns) != 0 {
		t.Errorf("client opened %d connections after the second, want 0", len(srv.conns))
	}
}

// Guards against parts on an unresponsive connection that look like a queue at the server until their deadline: a
// message on another connection shows that the server is up, so the unresponsive one must be dropped.
func TestUnresponsiveConnectionIsDroppedOnMessageElsewhere(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	<-srv.conns // the server writes nothing on this connection
	client.CheckHealth(7)
	<-srv.frames
	s.advance(50 * time.Millisecond)
	client.Send(attempt("b", 3, 1)) // is written on a second connection
	<-srv.frames
	second := <-srv.conns
	reply(second, "b.3 200 1 -\nv")
	if got := s.wantEnded(t, outcome.Timeout); got.id.No != 0 {
		t.Errorf("attempt %d timed out, want attempt 0", got.id.No)
	}
	s.wantEnded(t, outcome.Success)
	if r := <-s.healthChecks; r.Outcome != outcome.Timeout {
		t.Errorf("outcome of the health check on the unresponsive connection = %s, want %s", r.Outcome, outcome.Timeout)
	}
	client.Send(attempt("c", 3, 2)) // is written on the second connection, which stays open
	<-srv.frames
	reply(second, "c.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
}
