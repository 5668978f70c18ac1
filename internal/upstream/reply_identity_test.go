package upstream_test

import (
	"net"
	"testing"

	"linkpass/internal/frame"
	"linkpass/internal/http1"
	"linkpass/internal/opensearch"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// partNameHeader is the header of a search in which a server repeats the name of the part.
const partNameHeader = "X-Opaque-Id"

// answerSearch writes a search result with one hit, with the name of the part if it is not empty.
func answerSearch(t *testing.T, netConn net.Conn, name, hit string) {
	t.Helper()
	res := &http1.Response{Status: 200, Body: []byte(`{"_shards":{"total":1,"successful":1,"failed":0},` +
		`"hits":{"total":{"value":1},"hits":[{"_id":"` + hit + `"}]}}`)}
	if name != "" {
		res.Header = map[string][]string{partNameHeader: {name}}
	}
	if err := http1.WriteResponse(netConn, res); err != nil {
		t.Error(err)
	}
}

// startSearchClient returns a client of a server that speaks the search protocol.
func startSearchClient(t *testing.T, srv *searchServer, s *sink) *upstream.Client {
	t.Helper()
	client := upstream.New(newConfig(s), opensearch.Codec{ReportNames: []string{"active"}}, "s-1", srv.ln.Addr().String())
	t.Cleanup(func() { client.Close(); client.Wait() })
	client.SetAcceptsWork(true)
	return client
}

// wantHit waits for the end of an attempt and requires that its value has a hit.
func (s *sink) wantHit(t *testing.T, want string) {
	t.Helper()
	if r := s.wantEnded(t, outcome.Success); r.Hits == nil || len(r.Hits.List) != 1 || r.Hits.List[0].ID != want {
		t.Errorf("result = %+v, want the hit %s", r, want)
	}
}

// Guards against an answer that is given to another query because a second copy of it arrives, however late: a reply
// that does not repeat the name of its part is the last one that is read on its connection. Another connection is open
// by the time of the next part.
func TestConnectionIsNotReusedAfterUnnamedReply(t *testing.T) {
	srv, s := startSearchServer(t), newSink()
	client := startSearchClient(t, srv, s)
	client.Send(attempt("a", 3, 0))
	srv.wantRequest(t, "/_search")
	first := <-srv.conns
	answerSearch(t, first, "", "of a")
	s.wantHit(t, "of a")
	srv.wantRequest(t, "end")
	client.Send(attempt("b", 3, 1))
	srv.wantRequest(t, "/_search")
	second := <-srv.conns
	if second == first {
		t.Fatal("the second part was written to the connection of the first")
	}
	_, _ = first.Write([]byte("a late copy, which nobody reads"))
	answerSearch(t, second, "", "of b")
	s.wantHit(t, "of b")
}

// A reply that repeats the name of its part is told from a second copy of an earlier one, so the connection is reused.
// The copy arrives while the next part is in flight.
func TestNamedReplyIsToldFromSecondCopy(t *testing.T) {
	srv, s := startSearchServer(t), newSink()
	client := startSearchClient(t, srv, s)
	client.Send(attempt("a", 3, 0))
	srv.wantRequest(t, "/_search")
	first := <-srv.conns
	answerSearch(t, first, "a.3", "of a")
	s.wantHit(t, "of a")
	client.Send(attempt("b", 3, 1))
	srv.wantRequest(t, "/_search")
	if second := <-srv.conns; second != first {
		t.Error("the second part was written to another connection, want the same")
	}
	answerSearch(t, first, "a.3", "of a")
	answerSearch(t, first, "b.3", "of b")
	s.wantHit(t, "of b")
	client.Send(attempt("a", 3, 2)) // the copy of its first reply could still come
	srv.wantRequest(t, "/_search")
	if third := <-srv.conns; third == first {
		t.Error("a part was written to the connection that a part of the same name was on before")
	}
}

// A reply without a name is not taken for that of the part in flight on a connection that had an earlier part.
func TestUnnamedReplyOnReusedConnectionIsRejected(t *testing.T) {
	srv, s := startSearchServer(t), newSink()
	client := startSearchClient(t, srv, s)
	client.Send(attempt("a", 3, 0))
	srv.wantRequest(t, "/_search")
	netConn := <-srv.conns
	answerSearch(t, netConn, "a.3", "of a")
	s.wantHit(t, "of a")
	client.Send(attempt("b", 3, 1))
	srv.wantRequest(t, "/_search")
	answerSearch(t, netConn, "", "of a")
	s.wantEnded(t, outcome.MalformedResponse)
	srv.wantRequest(t, "end")
}

// A second copy of the reply to a health check ends neither the next one nor the part in flight, whose own replies come
// after it.
func TestNamedHealthCheckReplyIsToldFromSecondCopy(t *testing.T) {
	srv, s := startSearchServer(t), newSink()
	client := startSearchClient(t, srv, s)
	greet := func(netConn net.Conn, name, load string) {
		_ = http1.WriteResponse(netConn, &http1.Response{Status: 200, Body: []byte(`{"name":"s-1"}`),
			Header: map[string][]string{partNameHeader: {name}, "X-Server-Load": {"active=" + load}}})
	}
	client.CheckHealth(1)
	srv.wantRequest(t, "/")
	netConn := <-srv.conns
	greet(netConn, "check-1", "1")
	<-s.healthChecks
	client.CheckHealth(2)
	srv.wantRequest(t, "/")
	greet(netConn, "check-1", "1")
	greet(netConn, "check-2", "2")
	if r := <-s.healthChecks; r.Outcome != outcome.Success || len(r.LoadReport) != 1 || r.LoadReport[0] != 2 {
		t.Errorf("result of the second health check = %+v, want its own load report", r)
	}
	client.Send(attempt("a", 3, 0))
	srv.wantRequest(t, "/_search")
	greet(netConn, "check-2", "2")
	answerSearch(t, netConn, "a.3", "of a")
	s.wantHit(t, "of a")
	client.CheckHealth(3)
	srv.wantRequest(t, "/")
	_ = http1.WriteResponse(netConn, &http1.Response{Status: 500, Header: map[string][]string{partNameHeader: {"check-3"}}})
	if r := <-s.healthChecks; r.Outcome != outcome.ServerError {
		t.Errorf("outcome of a failed health check = %s, want %s", r.Outcome, outcome.ServerError)
	}
}

// Guards against a part that runs twice: a second copy of the rejection of its first attempt could be taken for that of
// the next one. So an attempt at a part that must not run twice is not written to a connection that had an earlier one.
func TestRetryOfNonIdempotentPartUsesAnotherConnection(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	once := attempt("a", 3, 0)
	once[0].AtMostOnce = true
	client.Send(once)
	<-srv.frames
	first := <-srv.conns
	reply(first, "a.3 503 0 -\n")
	s.wantEnded(t, outcome.Rejected)
	client.Send(once)
	<-srv.frames
	second := <-srv.conns
	_, _ = first.Write(frame.Append(nil, frame.LetterReply, []byte("a.3 503 0 -\n")))
	reply(second, "a.3 200 17 -\nvalue")
	if r := s.wantEnded(t, outcome.Success); string(r.Value) != "value" {
		t.Errorf("result = %+v, want the value of the second attempt", r)
	}
}
