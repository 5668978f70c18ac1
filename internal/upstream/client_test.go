package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/opensearch"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// sink stands in for the core: time stands still unless the test moves it.
type sink struct {
	now     atomic.Int64
	mu      sync.Mutex
	armed   []*armed
	ended   chan ended
	probed  chan coordinator.Result
	written chan coordinator.AttemptID
}

type armed struct {
	at   time.Duration
	fire func()
}

type ended struct {
	id coordinator.AttemptID
	coordinator.Result
}

func newSink() *sink {
	return &sink{ended: make(chan ended, 64), probed: make(chan coordinator.Result, 64),
		written: make(chan coordinator.AttemptID, 64)}
}
func (s *sink) Now() time.Duration { return time.Duration(s.now.Load()) }
func (s *sink) Arm(at time.Duration, fire func()) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &armed{at, fire}
	s.armed = append(s.armed, a)
	return func() { s.mu.Lock(); a.fire = nil; s.mu.Unlock() }
}

// pass moves the time on and fires what falls due.
func (s *sink) pass(d time.Duration) {
	now := time.Duration(s.now.Add(int64(d)))
	s.mu.Lock()
	var due []func()
	for _, a := range s.armed {
		if a.fire != nil && a.at <= now {
			due, a.fire = append(due, a.fire), nil
		}
	}
	s.mu.Unlock()
	for _, f := range due {
		f()
	}
}

// quiet waits until nothing that is armed would fall due: a write that has come whole may not have been
// booked as whole yet, and its limit would end the connection.
func (s *sink) quiet(d time.Duration) {
	for due := true; due; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		due = slices.ContainsFunc(s.armed, func(a *armed) bool { return a.fire != nil && a.at <= s.Now()+d })
		s.mu.Unlock()
	}
}
func (s *sink) AttemptEnded(id coordinator.AttemptID, r coordinator.Result) { s.ended <- ended{id, r} }
func (s *sink) BodySent(id coordinator.AttemptID)                           { s.written <- id }
func (s *sink) HealthCheckEnded(_ uint64, r coordinator.Result)             { s.probed <- r }

// server takes connections of a stand-in and hands their frames to the test.
type server struct {
	ln     net.Listener
	conns  chan net.Conn
	frames chan string
}

func listen(t *testing.T) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln: ln, conns: make(chan net.Conn, 64), frames: make(chan string, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- nc
			go func() {
				r := bufio.NewReader(nc)
				for {
					letter, rest, err := frame.Read(r)
					if err != nil {
						return
					}
					s.frames <- string(letter) + string(rest)
				}
			}()
		}
	}()
	return s
}

func start(t *testing.T, addr string) (*upstream.Client, *sink) {
	s := newSink()
	p := upstream.New(upstream.Config{Sink: s, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(nil), ConnectTimeout: 250 * time.Millisecond, Keepalive: 30 * time.Second},
		frame.Codec{MaxStreams: 2, ReportNames: []string{"active"}}, "s-1", addr)
	p.SetAcceptsWork(true)
	t.Cleanup(func() { p.Close(); p.Wait() })
	return p, s
}

func attempt(query string, shard, no int) []coordinator.Attempt {
	return []coordinator.Attempt{{ID: coordinator.AttemptID{Part: 1, No: no}, Query: query, Shard: shard, Payload: []byte("x"), Deadline: time.Hour}}
}

func reply(nc net.Conn, text string) { _, _ = nc.Write(frame.Append(nil, frame.Answer, []byte(text))) }

func (s *sink) want(t *testing.T, e outcome.Outcome) ended {
	t.Helper()
	got := <-s.ended
	if got.Outcome != e {
		t.Fatalf("%v ended as %s, want %s", got.id, got.Outcome, e)
	}
	return got
}

func TestPartsAndProbes(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	if got := <-srv.frames; got != "Da.3 3 d=3600000 1\nx" {
		t.Fatalf("wrote %q", got)
	}
	nc := <-srv.conns
	reply(nc, "a.3 200 17 active=4\nvalue")
	if r := s.want(t, outcome.Success); string(r.Value) != "value" || r.Score != 17 || r.LoadReport[0] != 4 {
		t.Errorf("%+v", r)
	}
	for text, want := range map[string]outcome.Outcome{"500": outcome.ServerError, "503": outcome.Rejected} {
		p.Send(attempt("a", 3, 1))
		<-srv.frames
		reply(nc, "a.3 "+text+" 0 -\n")
		s.want(t, want)
	}
	p.CheckHealth(1)
	if got := <-srv.frames; got != "U" {
		t.Fatalf("probed by %q", got)
	}
	_, _ = nc.Write(frame.Append(nil, frame.LoadProbe, []byte("active=2")))
	if r := <-s.probed; r.Outcome != outcome.Success || r.LoadReport[0] != 2 {
		t.Errorf("%+v", r)
	}
	p.Send(attempt("c", 1, 2))
	<-srv.frames
	p.Cancel(coordinator.AttemptID{Part: 1, No: 2})
	if got := <-srv.frames; got != "Kc.1" {
		t.Errorf("gave up by %q", got)
	}
}

// Between the module's decision and the write a server may begin to drain, a query
// may end, its time may pass: nothing may go out then.
func TestNothingIsWrittenThatIsOver(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	late := attempt("late", 3, 0)
	late[0].Deadline = 0
	p.Send(late)
	s.want(t, outcome.NotSent)
	p.SetAcceptsWork(false)
	p.Send(attempt("drained", 3, 1))
	s.want(t, outcome.NotSent)
	p.SetAcceptsWork(true)
	p.Send(attempt("twin", 3, 2))
	<-srv.frames
	p.Send(attempt("twin", 3, 3)) // the answers of the two could not be told apart
	s.want(t, outcome.NotSent)
	if len(srv.frames) != 0 {
		t.Errorf("wrote %q", <-srv.frames)
	}
}

func TestConnectionsThatEnd(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	for _, c := range []struct {
		cut  func(net.Conn)
		want outcome.Outcome
	}{
		{func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0); nc.Close() }, outcome.ConnReset},
		{func(nc net.Conn) { nc.Close() }, outcome.ConnClosed},
		{func(nc net.Conn) { nc.Write(frame.Append(nil, 'Q', nil)) }, outcome.MalformedResponse},
		{func(nc net.Conn) { nc.Write(frame.Append(nil, frame.Complaint, []byte("what?"))) }, outcome.BadRequest},
		{func(nc net.Conn) { nc.Write([]byte{9, 0, 0, 0, 'O'}); nc.Close() }, outcome.ConnReset},
		{func(nc net.Conn) { reply(nc, "nothing of use") }, outcome.MalformedResponse},
	} {
		p.Send(attempt("a", 3, 0))
		<-srv.frames
		c.cut(<-srv.conns)
		s.want(t, c.want)
	}
	srv.ln.Close()
	p.Send(attempt("a", 3, 0))
	s.want(t, outcome.DialRefused)
}

// A process that began anew does not know the connections of the old one; a silent
// one never says so.
func TestRestartEndsOldConnections(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	<-srv.frames
	p.ServerRestarted(1)
	s.want(t, outcome.ConnReset)
}

func TestIdleConnectionsAreClosedBeforeTheServerDoes(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	<-srv.frames
	nc := <-srv.conns
	reply(nc, "a.3 200 1 -\n")
	s.want(t, outcome.Success)
	s.pass(29 * time.Second)
	p.Send(attempt("b", 3, 0)) // goes out on a new connection
	<-srv.frames
	<-srv.conns
}

// What does not fit on a connection opens another, up to the cap; past that it is
// told at once, never held back.
func TestCrowd(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	const room = 2 * 8
	for i := range room {
		p.Send(attempt(fmt.Sprint("q", i), 3, i))
	}
	for range room {
		if got := <-srv.frames; !strings.HasPrefix(got, "Dq") {
			t.Fatalf("%q", got)
		}
	}
	p.Send(attempt("over", 3, room))
	if r := s.want(t, outcome.QueueFull); r.id.No != room {
		t.Errorf("%+v", r)
	}
}

func TestRetiredPeerEndsWithItsWork(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	<-srv.frames
	p.Drain()
	reply(<-srv.conns, "a.3 200 1 -\nv")
	s.want(t, outcome.Success)
	p.Wait()
	if p.Send(attempt("b", 3, 0)) {
		t.Error("took work after its end")
	}
}

// A searching server carries one thing at a time on a connection: what is given up
// or no longer awaited must not stand in the way, and a greeting is no part.
func TestOneAtATime(t *testing.T) {
	requests, conns := make(chan string, 8), make(chan net.Conn, 8)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r := http1.NewReader(nc, 0)
				for {
					req, err := r.Request()
					if err != nil {
						requests <- "end"
						return
					}
					requests <- req.Path
					conns <- nc
				}
			}()
		}
	}()
	next := func(want string) {
		t.Helper()
		if got := <-requests; got != want {
			t.Fatalf("came %q, want %q", got, want)
		}
	}
	s := newSink()
	p := upstream.New(upstream.Config{Sink: s, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(nil), ConnectTimeout: time.Second}, opensearch.Codec{}, "s-1", ln.Addr().String())
	defer func() { p.Close(); p.Wait() }()
	p.SetAcceptsWork(true)
	p.CheckHealth(1)
	next("/")
	p.AbandonHealthCheck(1)
	next("end")
	if r := <-s.probed; r.Outcome != outcome.Timeout {
		t.Errorf("probe ended as %s", r.Outcome)
	}
	p.Send(attempt("a", 3, 0))
	next("/_search")
	p.Cancel(coordinator.AttemptID{Part: 1, No: 0})
	next("end")
	<-conns
	<-conns
	p.Send(attempt("b", 3, 1))
	next("/_search")
	nc := <-conns
	_ = http1.WriteResponse(nc, &http1.Response{Status: 200, Body: []byte(`{"name":"s-1"}`)})
	s.want(t, outcome.MalformedResponse)
	next("end")
}

// A descriptor that no actor hears of any more is closed all the same, and its place
// is free again: connects that end while their peer does must not add up over a day.
func TestPlacesComeBack(t *testing.T) {
	srv := listen(t)
	places := upstream.NewConnLimiter(1)
	s := newSink()
	cfg := upstream.Config{Sink: s, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(nil), ConnectTimeout: time.Second, ConnLimiter: places}
	first := upstream.New(cfg, frame.Codec{MaxStreams: 1}, "s-1", srv.ln.Addr().String())
	first.SetAcceptsWork(true)
	first.Send(attempt("a", 3, 0))
	<-srv.frames
	first.Send(attempt("b", 3, 1)) // there is no place for a second connection
	s.want(t, outcome.QueueFull)
	first.Close()
	s.want(t, outcome.ConnClosed)
	first.Wait()
	for range 20 { // some end before their connection is up, some after
		p := upstream.New(cfg, frame.Codec{MaxStreams: 1}, "s-1", srv.ln.Addr().String())
		p.SetAcceptsWork(true)
		p.Send(attempt("c", 3, 2))
		p.Close()
		p.Wait()
	}
	last := upstream.New(cfg, frame.Codec{MaxStreams: 1}, "s-1", srv.ln.Addr().String())
	defer func() { last.Close(); last.Wait() }()
	last.SetAcceptsWork(true)
	last.Send(attempt("d", 3, 3))
	for !strings.HasPrefix(<-srv.frames, "Dd.3") {
	}
}

// Where fewer places are left than are taken, a connection goes as it falls idle, not before.
func TestFewerPlaces(t *testing.T) {
	srv := listen(t)
	places, s := upstream.NewConnLimiter(2), newSink()
	p := upstream.New(upstream.Config{Sink: s, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(nil), ConnectTimeout: time.Second, ConnLimiter: places},
		frame.Codec{MaxStreams: 2}, "s-1", srv.ln.Addr().String())
	defer func() { p.Close(); p.Wait() }()
	p.SetAcceptsWork(true)
	p.Send(attempt("a", 3, 0))
	p.Send(attempt("b", 3, 1))
	<-srv.frames
	<-srv.frames
	nc := <-srv.conns
	places.SetLimit(0)
	reply(nc, "a.3 200 1 -\nv")
	s.want(t, outcome.Success)
	reply(nc, "b.3 200 1 -\nv")
	s.want(t, outcome.Success)
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection past the limit stayed: %v", err)
	}
	p.Send(attempt("c", 3, 2))
	s.want(t, outcome.QueueFull)
	places.SetLimit(1)
	p.Send(attempt("d", 3, 3))
	<-srv.frames
}

// An answer by a name never asked there is a spoilt one: its connection serves no
// further use, and what is out on it is told so. A second copy, or the answer to what
// was given up, is neither.
func TestSpoiltNameEndsItsConnection(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	<-srv.frames
	nc := <-srv.conns
	reply(nc, "a.3 200 1 -\nv")
	s.want(t, outcome.Success)
	reply(nc, "a.3 200 1 -\nv")
	p.Send(attempt("b", 3, 1))
	<-srv.frames
	p.Cancel(coordinator.AttemptID{Part: 1, No: 1})
	<-srv.frames
	reply(nc, "b.3 200 1 -\nv")
	p.Send(attempt("c", 3, 2))
	if got := <-srv.frames; !strings.HasPrefix(got, "Dc.3") || len(srv.conns) != 0 {
		t.Errorf("%q, %d new connections", got, len(srv.conns))
	}
	reply(nc, "x.3 200 1 -\nv")
	s.want(t, outcome.MalformedResponse)
}

// A connection that stands in half a message looks sound to the machine: once a probe
// on it is lost, new work goes out on another one.
func TestMuteConnectionTakesNoNewWork(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	<-srv.frames
	first := <-srv.conns
	_, _ = first.Write([]byte{200, 0, 0, 0, 'O'})
	p.CheckHealth(7)
	<-srv.frames
	s.quiet(250 * time.Millisecond)
	s.pass(250 * time.Millisecond)
	p.AbandonHealthCheck(7)
	p.Send(attempt("b", 3, 1))
	<-srv.frames
	p.Cancel(coordinator.AttemptID{Part: 1, No: 0}) // nothing is out on the first any more: it goes
	p.FirstConn()                                   // the order is carried out: what the server says next comes behind it
	reply(<-srv.conns, "b.3 200 1 -\nv")
	s.want(t, outcome.Success)
	p.CheckHealth(8) // goes out on the second one, which stays
	for got := ""; got != "U"; {
		got = <-srv.frames
	}
	if len(srv.conns) != 0 {
		t.Error("a third connection")
	}
}

// What is out on a connection that fell silent ends as soon as the server speaks on another:
// until its time was over it would look like a queue there.
func TestSilentConnectionFreesItsParts(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	<-srv.frames
	<-srv.conns // says nothing from here on
	p.CheckHealth(7)
	<-srv.frames
	s.pass(50 * time.Millisecond)
	p.Send(attempt("b", 3, 1)) // goes out on a second connection
	<-srv.frames
	second := <-srv.conns
	reply(second, "b.3 200 1 -\nv")
	if got := s.want(t, outcome.Timeout); got.id.No != 0 {
		t.Errorf("attempt %d ended", got.id.No)
	}
	s.want(t, outcome.Success)
	if r := <-s.probed; r.Outcome != outcome.Timeout {
		t.Errorf("the probe on it ended as %s", r.Outcome)
	}
	p.Send(attempt("c", 3, 2)) // the second connection is sound
	<-srv.frames
	reply(second, "c.3 200 1 -\nv")
	s.want(t, outcome.Success)
}
