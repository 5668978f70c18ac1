package upstream_test

import (
	"testing"
	"time"

	"linkpass/internal/outcome"
)

func TestIdleConnectionClosesBeforeServerIdleTimeout(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	client.Send(attempt("a", 3, 0))
	<-srv.frames
	netConn := <-srv.conns
	reply(netConn, "a.3 200 1 -\n")
	s.wantEnded(t, outcome.Success)
	s.advance(29 * time.Second)
	client.Send(attempt("b", 3, 0)) // is written on a new connection
	<-srv.frames
	<-srv.conns
}
