package upstream_test

import (
	"net"
	"strings"
	"testing"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/outcome"
)

func TestConnectionEndGivesOutcome(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	for _, c := range []struct {
		name string
		end  func(net.Conn)
		want outcome.Outcome
	}{
		{"reset", func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0); nc.Close() }, outcome.ConnReset},
		{"closed", func(nc net.Conn) { nc.Close() }, outcome.ConnClosed},
		{"unknown letter", func(nc net.Conn) { nc.Write(frame.Append(nil, 'Q', nil)) }, outcome.MalformedResponse},
		{"error frame", func(nc net.Conn) {
			nc.Write(frame.Append(nil, frame.LetterError, []byte("what?")))
		}, outcome.BadRequest},
		{"closed in a frame", func(nc net.Conn) { nc.Write([]byte{9, 0, 0, 0, 'O'}); nc.Close() }, outcome.ConnReset},
		{"malformed reply", func(nc net.Conn) { reply(nc, "nothing of use") }, outcome.MalformedResponse},
	} {
		passed := t.Run(c.name, func(t *testing.T) {
			client.Send(attempt("a", 3, 0))
			<-srv.frames
			c.end(<-srv.conns)
			s.wantEnded(t, c.want)
		})
		if !passed {
			t.FailNow() // the cases share a client
		}
	}
	srv.ln.Close()
	client.Send(attempt("a", 3, 0))
	s.wantEnded(t, outcome.DialRefused)
}

// A reply with a name that was never sent is corrupted, so the connection must be dropped. A second reply to a part, or
// a reply to a canceled part, must not drop it.
func TestReplyWithUnknownNameDropsConnection(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	netConn := <-srv.conns
	reply(netConn, "a.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	reply(netConn, "a.3 200 1 -\nv")
	client.Send(attempt("b", 3, 1))
	<-srv.frames
	client.Cancel(coordinator.AttemptID{Part: 1, No: 1})
	<-srv.frames
	reply(netConn, "b.3 200 1 -\nv")
	client.Send(attempt("c", 3, 2))
	if got := <-srv.frames; !strings.HasPrefix(got, "Dc.3") || len(srv.conns) != 0 {
		t.Errorf("frame = %q with %d new connections, want the prefix %q and none", got, len(srv.conns), "Dc.3")
	}
	reply(netConn, "x.3 200 1 -\nv")
	s.wantEnded(t, outcome.MalformedResponse)
}
