package upstream_test

import (
	"net"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/opensearch"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// searchServer reads HTTP requests, and passes the path and the connection of each to the test.
type searchServer struct {
	ln       net.Listener
	requests chan string // path of each request, and "end" at the end of a connection
	conns    chan net.Conn
}

func startSearchServer(t *testing.T) *searchServer {
	t.Helper()
	s := &searchServer{ln: listenTCP(t), requests: make(chan string, 8), conns: make(chan net.Conn, 8)}
	go func() {
		for {
			netConn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.readRequests(netConn)
		}
	}()
	return s
}

func (s *searchServer) readRequests(netConn net.Conn) {
	r := http1.NewReader(netConn, 0)
	for {
		req, err := r.Request()
		if err != nil {
			s.requests <- "end"
			return
		}
		s.requests <- req.Path
		s.conns <- netConn
	}
}

func (s *searchServer) wantRequest(t *testing.T, want string) {
	t.Helper()
	if got := <-s.requests; got != want {
		t.Fatalf("request = %q, want %q", got, want)
	}
}

// Guards against a canceled attempt or an abandoned health check that blocks others on an exclusive connection, and
// against the reply to a health check that is taken as the reply to a part.
func TestExclusiveConnectionCarriesOneAtATime(t *testing.T) {
	srv, s := startSearchServer(t), newSink()
	config := newConfig(s)
	config.ConnectTimeout = time.Second
	client := upstream.New(config, opensearch.Codec{}, "s-1", srv.ln.Addr().String())
	defer func() { client.Close(); client.Wait() }()
	client.SetAcceptsWork(true)
	client.CheckHealth(1)
	srv.wantRequest(t, "/")
	client.AbandonHealthCheck(1)
	srv.wantRequest(t, "end")
	if r := <-s.healthChecks; r.Outcome != outcome.Timeout {
		t.Errorf("outcome of the abandoned health check = %s, want %s", r.Outcome, outcome.Timeout)
	}
	client.Send(attempt("a", 3, 0))
	srv.wantRequest(t, "/_search")
	client.Cancel(coordinator.AttemptID{Part: 1, No: 0})
	srv.wantRequest(t, "end")
	<-srv.conns
	<-srv.conns
	client.Send(attempt("b", 3, 1))
	srv.wantRequest(t, "/_search")
	netConn := <-srv.conns
	_ = http1.WriteResponse(netConn, &http1.Response{Status: 200, Body: []byte(`{"name":"s-1"}`)})
	s.wantEnded(t, outcome.MalformedResponse)
	srv.wantRequest(t, "end")
}
