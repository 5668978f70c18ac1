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
		t.Fatalf("request frame = %q, want %q", got, "Da.3 3 d=3600000 1\nx")
	}
	netConn := <-srv.conns
	reply(netConn, "a.3 200 17 active=4\nvalue")
	if r := s.wantEnded(t, outcome.Success); string(r.Value) != "value" || r.Score != 17 || r.LoadReport[0] != 4 {
		t.Errorf("result of the attempt = %+v, want value \"value\", score 17 and load report [4]", r)
	}
	for code, want := range map[string]outcome.Outcome{"500": outcome.ServerError, "503": outcome.Rejected} {
		client.Send(attempt("a", 3, 1))
		<-srv.frames
		reply(netConn, "a.3 "+code+" 0 -\n")
		s.wantEnded(t, want)
	}
	client.CheckHealth(1)
	if got := <-srv.frames; got != "U" {
		t.Fatalf("health check frame = %q, want %q", got, "U")
	}
	_, _ = netConn.Write(frame.Append(nil, frame.LetterLoadCheck, []byte("active=2")))
	if r := <-s.healthChecks; r.Outcome != outcome.Success || r.LoadReport[0] != 2 {
		t.Errorf("result of the health check = %+v, want %s and load report [2]", r, outcome.Success)
	}
	client.Send(attempt("c", 1, 2))
	<-srv.frames
	client.Cancel(coordinator.AttemptID{Part: 1, No: 2})
	if got := <-srv.frames; got != "Kc.1" {
		t.Errorf("cancel frame = %q, want %q", got, "Kc.1")
	}
}

// Guards against writing an attempt that must no longer be written. Between the routing decision and the write, the
// query may end, its deadline may pass, and the server may begin to drain.
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
	client.Send(attempt("same", 3, 3)) // has the name of a part in flight: the replies would be ambiguous
	s.wantEnded(t, outcome.NotSent)
	if len(srv.frames) != 0 {
		t.Errorf("server received the frame %q, want none", <-srv.frames)
	}
}

// Attempts that do not fit on a connection open another one, up to the limit. Beyond the limit an attempt must be
// rejected, not queued.
func TestSendRejectsBeyondConnLimit(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	const capacity = 2 * 8
	for i := range capacity {
		client.Send(attempt(fmt.Sprint("q", i), 3, i))
	}
	for range capacity {
		if got := <-srv.frames; !strings.HasPrefix(got, "Dq") {
			t.Fatalf("frame = %q, want a request with the prefix %q", got, "Dq")
		}
	}
	client.Send(attempt("over", 3, capacity))
	if r := s.wantEnded(t, outcome.QueueFull); r.id.No != capacity {
		t.Errorf("rejected attempt = %+v, want number %d", r, capacity)
	}
}

// Guards against attempts that stay in flight on a connection to a process that has gone: if no reset arrives, such a
// connection never ends by itself.
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
		t.Error("Send after the client was drained = true, want false")
	}
}
