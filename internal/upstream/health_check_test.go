package upstream_test

import (
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// A connection that is stuck inside a message looks usable to the operating system.
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
	client.Cancel(coordinator.AttemptID{Part: 1, No: 0}) // nothing is in flight on the first any more: it is dropped
	client.FirstConn()                                   // the cancel is done before the reply is read
	reply(<-srv.conns, "b.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	client.CheckHealth(8) // is written on the second connection, which stays
	for got := ""; got != "U"; {
		got = <-srv.frames
	}
	if len(srv.conns) != 0 {
		t.Error("a third connection")
	}
}

// Until their deadline the parts on a silent connection would look like a queue at the server.
func TestUnresponsiveConnectionIsDroppedOnMessageElsewhere(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	<-srv.conns // is silent from here on
	client.CheckHealth(7)
	<-srv.frames
	s.advance(50 * time.Millisecond)
	client.Send(attempt("b", 3, 1)) // is written on a second connection
	<-srv.frames
	second := <-srv.conns
	reply(second, "b.3 200 1 -\nv")
	if got := s.wantEnded(t, outcome.Timeout); got.id.No != 0 {
		t.Errorf("attempt %d ended", got.id.No)
	}
	s.wantEnded(t, outcome.Success)
	if r := <-s.checked; r.Outcome != outcome.Timeout {
		t.Errorf("the health check on it ended as %s", r.Outcome)
	}
	client.Send(attempt("c", 3, 2)) // the second connection is still used
	<-srv.frames
	reply(second, "c.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
}
