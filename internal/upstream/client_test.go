package upstream_test

import (
	"fmt"
	"strings"
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/outcome"
)

func TestClientReportsRepliesToAttemptsAndHealthChecks(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	if got := <-srv.frames; got != "Da.3 3 d=3600000 1\nx" {
		t.Fatalf("wrote %q", got)
	}
	netConn := <-srv.conns
	reply(netConn, "a.3 200 17 active=4\nvalue")
	if r := s.wantEnded(t, outcome.Success); string(r.Value) != "value" || r.Score != 17 || r.LoadReport[0] != 4 {
		t.Errorf("%+v", r)
	}
	for code, want := range map[string]outcome.Outcome{"500": outcome.ServerError, "503": outcome.Rejected} {
		client.Send(attempt("a", 3, 1))
		<-srv.frames
		reply(netConn, "a.3 "+code+" 0 -\n")
		s.wantEnded(t, want)
	}
	client.CheckHealth(1)
	if got := <-srv.frames; got != "U" {
		t.Fatalf("health check written as %q", got)
	}
	_, _ = netConn.Write(frame.Append(nil, frame.LetterLoadCheck, []byte("active=2")))
	if r := <-s.checked; r.Outcome != outcome.Success || r.LoadReport[0] != 2 {
		t.Errorf("%+v", r)
	}
	client.Send(attempt("c", 1, 2))
	<-srv.frames
	client.Cancel(coordinator.AttemptID{Part: 1, No: 2})
	if got := <-srv.frames; got != "Kc.1" {
		t.Errorf("canceled by %q", got)
	}
}

// Between the routing decision and the write a query may end, its deadline pass, its server begin to drain.
func TestSendWritesNoEndedAttempt(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	late := attempt("late", 3, 0)
	late[0].Deadline = 0
	client.Send(late)
	s.wantEnded(t, outcome.NotSent)
	client.SetAcceptsWork(false)
	client.Send(attempt("drained", 3, 1))
	s.wantEnded(t, outcome.NotSent)
	client.SetAcceptsWork(true)
	client.Send(attempt("same", 3, 2))
	<-srv.frames
	client.Send(attempt("same", 3, 3)) // the replies to the two could not be told apart
	s.wantEnded(t, outcome.NotSent)
	if len(srv.frames) != 0 {
		t.Errorf("wrote %q", <-srv.frames)
	}
}

// What does not fit on a connection opens another, up to the limit; beyond it an attempt is rejected, not queued.
func TestSendRejectsBeyondConnLimit(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	const capacity = 2 * 8
	for i := range capacity {
		client.Send(attempt(fmt.Sprint("q", i), 3, i))
	}
	for range capacity {
		if got := <-srv.frames; !strings.HasPrefix(got, "Dq") {
			t.Fatalf("%q", got)
		}
	}
	client.Send(attempt("over", 3, capacity))
	if r := s.wantEnded(t, outcome.QueueFull); r.id.No != capacity {
		t.Errorf("%+v", r)
	}
}

// A silent connection to a process that is no more never ends by itself.
func TestServerRestartedDropsOlderConnections(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	client.ServerRestarted(1)
	s.wantEnded(t, outcome.ConnReset)
}

func TestDrainStopsClientAfterLastAttempt(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	client.Drain()
	reply(<-srv.conns, "a.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	client.Wait()
	if client.Send(attempt("b", 3, 0)) {
		t.Error("accepted work after its end")
	}
}
