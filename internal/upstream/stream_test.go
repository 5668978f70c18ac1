package upstream_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// body is a stand-in for one that is kept elsewhere.
type body struct {
	data []byte
	cut  int // it can be read so far; below 0: not at all
}

func (b *body) Size() int64 { return int64(len(b.data)) }
func (b *body) Open() (io.ReadCloser, error) {
	if b.cut < 0 {
		return nil, errors.New("gone")
	}
	if b.cut > 0 {
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.data[:b.cut]), failing{})), nil
	}
	return io.NopCloser(bytes.NewReader(b.data)), nil
}
func (*body) MarkSent()        {}
func (*body) MarkPending()     {}
func (*body) OnEvicted(func()) {}
func (*body) Release()         {}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("a record does not check") }

func withBody(query string, no int, b *body) []coordinator.Attempt {
	list := attempt(query, 3, no)
	list[0].Payload, list[0].Body = nil, b
	return list
}

// A body that lies elsewhere is written as if its text had been here, in one message, and what comes
// meanwhile goes out on another connection.
func TestABodyIsStreamed(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	big := bytes.Repeat([]byte("0123456789"), 20_000)
	p.Send(withBody("a", 0, &body{data: big}))
	p.Send(withBody("b", 1, &body{data: big}))
	p.Send(attempt("c", 3, 2))
	heads := map[string]bool{"Da.3 3 d=3600000 200000\n": true, "Db.3 3 d=3600000 200000\n": true, "Dc.3 3 d=3600000 1\n": true}
	for range 3 {
		got := <-srv.frames
		line, text, _ := strings.Cut(got, "\n")
		if !heads[line+"\n"] || text != "x" && text != string(big) {
			t.Fatalf("%.60q and %d bytes", line, len(text))
		}
		delete(heads, line+"\n")
	}
	<-s.written
	<-s.written
}

// A body that cannot be read, from the start or from its middle on, never reaches a server whole, and its
// part is said never to have run.
func TestABodyThatCannotBeRead(t *testing.T) {
	srv := listen(t)
	p, s := start(t, srv.ln.Addr().String())
	for no, b := range []*body{{data: make([]byte, 100_000), cut: -1}, {data: make([]byte, 100_000), cut: 50_000}} {
		p.Send(withBody("a", no, b))
		s.want(t, outcome.BodyEvicted)
	}
	p.Send(attempt("after", 3, 9))
	if got := <-srv.frames; got != "Dafter.3 3 d=3600000 1\nx" {
		t.Errorf("a message that was cut came whole: %.40q", got)
	}
}

// A server that stands still in the middle of a large body holds up that part alone, and that no longer than
// a connection may take; it never had the body whole.
func TestAServerThatStandsStillInABody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p, s := start(t, ln.Addr().String())
	p.Send(withBody("a", 0, &body{data: make([]byte, 64<<20)}))
	first, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if _, err := io.ReadFull(first, make([]byte, 100)); err != nil { // it is under way
		t.Fatal(err)
	}
	p.Send(attempt("b", 3, 1))
	second, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if _, err := io.ReadFull(second, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	reply(second, "b.3 200 1 -\nv")
	s.want(t, outcome.Success)
	for len(s.ended) == 0 { // its writes fill what the machine holds for it, and then stand still
		s.pass(300 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	if r := s.want(t, outcome.WriteInterrupted); r.id.No != 0 {
		t.Errorf("%+v", r)
	}
}

// The query ends, or the server begins to drain, while a body is on its way: it is cut short.
func TestABodyIsCutWhenItsQueryEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, drain := range []bool{false, true} {
		p, s := start(t, ln.Addr().String())
		p.Send(withBody("a", 0, &body{data: make([]byte, 64<<20)}))
		nc, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(nc, make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		if drain {
			p.SetAcceptsWork(false)
		} else {
			s.now.Add(int64(2 * time.Hour))
		}
		n, _ := io.Copy(io.Discard, nc)
		if n >= 64<<20 {
			t.Errorf("drain %v: all %d bytes came", drain, n)
		}
		s.want(t, outcome.NotSent)
		nc.Close()
	}
}

// Crossing: a body is cut short while another part is out on its connection. That one may run, whatever
// is known of the body's.
func TestABodyThatIsCutSaysNothingOfTheOthers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p, s := start(t, ln.Addr().String())
	p.Send(attempt("a", 3, 0))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := io.ReadFull(nc, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	p.Send(withBody("b", 1, &body{data: make([]byte, 64<<20)}))
	if _, err := io.ReadFull(nc, make([]byte, 100)); err != nil { // it is under way
		t.Fatal(err)
	}
	p.SetAcceptsWork(false)
	go func() { _, _ = io.Copy(io.Discard, nc) }()
	for range 2 {
		got := <-s.ended
		if want := []outcome.Outcome{outcome.ConnClosed, outcome.NotSent}[got.id.No]; got.Outcome != want {
			t.Errorf("part %d ended as %s, want %s", got.id.No, got.Outcome, want)
		}
	}
}
