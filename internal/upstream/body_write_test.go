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

const largeBody = 64 << 20 // bytes: more than the socket buffers hold

// storedBody is a coordinator.Body in memory, which can fail to open or to read.
type storedBody struct {
	data     []byte
	readable int // number of bytes that can be read before an error; 0: all, negative: the body cannot be opened
}

func (b *storedBody) Size() int64 { return int64(len(b.data)) }
func (b *storedBody) Open() (io.ReadCloser, error) {
	if b.readable < 0 {
		return nil, errors.New("evicted")
	}
	if b.readable > 0 {
		return io.NopCloser(io.MultiReader(bytes.NewReader(b.data[:b.readable]), failingReader{})), nil
	}
	return io.NopCloser(bytes.NewReader(b.data)), nil
}
func (*storedBody) MarkSent()        {}
func (*storedBody) MarkPending()     {}
func (*storedBody) OnEvicted(func()) {}
func (*storedBody) Release()         {}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("checksum mismatch") }

func attemptWithBody(query string, number int, b *storedBody) []coordinator.Attempt {
	attempts := attempt(query, 3, number)
	attempts[0].Payload, attempts[0].Body = nil, b
	return attempts
}

// readBytes reads the next n bytes from a connection, after which its message is partly written.
func readBytes(t *testing.T, netConn net.Conn, n int) {
	t.Helper()
	if _, err := io.ReadFull(netConn, make([]byte, n)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a part that is written into the message of a body: a part that is sent while a body is being written
// goes out on another connection.
func TestBodyIsWrittenInOneMessage(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	data := bytes.Repeat([]byte("0123456789"), 20_000)
	client.Send(attemptWithBody("a", 0, &storedBody{data: data}))
	client.Send(attemptWithBody("b", 1, &storedBody{data: data}))
	client.Send(attempt("c", 3, 2))
	wantLines := map[string]bool{
		"Da.3 3 d=3600000 200000\n": true,
		"Db.3 3 d=3600000 200000\n": true,
		"Dc.3 3 d=3600000 1\n":      true,
	}
	for range 3 {
		got := <-srv.frames
		line, text, _ := strings.Cut(got, "\n")
		if !wantLines[line+"\n"] || text != "x" && text != string(data) {
			t.Fatalf("request line = %.60q with %d bytes of payload, want one of %v with its whole payload",
				line, len(text), wantLines)
		}
		delete(wantLines, line+"\n")
	}
	<-s.bodiesSent
	<-s.bodiesSent
}

// Guards against a truncated message that is completed by the next one: a body that cannot be opened, or fails in the
// middle, must not reach the server as a complete part.
func TestUnreadableBodyEndsAsEvicted(t *testing.T) {
	srv := startServer(t)
	client, s := startClient(t, srv.addr())
	for number, readable := range []int{-1, 50_000} {
		client.Send(attemptWithBody("a", number, &storedBody{data: make([]byte, 100_000), readable: readable}))
		s.wantEnded(t, outcome.BodyEvicted)
	}
	client.Send(attempt("after", 3, 9))
	if got := <-srv.frames; got != "Dafter.3 3 d=3600000 1\nx" {
		t.Errorf("next complete frame = %.40q, want the request \"after\", not a truncated body", got)
	}
}

// Guards against a server that stops reading inside a large body and thereby blocks other parts. It may block only that
// part, and only for ConnectTimeout.
func TestServerStalledInBodyBlocksOnlyItsPart(t *testing.T) {
	ln := listenTCP(t)
	client, s := startClient(t, ln.Addr().String())
	client.Send(attemptWithBody("a", 0, &storedBody{data: make([]byte, largeBody)}))
	first, _ := accept(t, ln)
	readBytes(t, first, 100)
	client.Send(attempt("b", 3, 1))
	second, _ := accept(t, ln)
	readBytes(t, second, 10)
	reply(second, "b.3 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	for len(s.ended) == 0 { // the writes fill the socket buffers and then block
		s.advance(300 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	if r := s.wantEnded(t, outcome.WriteInterrupted); r.id.No != 0 {
		t.Errorf("interrupted attempt = %+v, want number 0", r)
	}
}

func TestBodyWriteStopsWithoutNeed(t *testing.T) {
	ln := listenTCP(t)
	for _, c := range []struct {
		name string
		end  func(setAcceptsWork func(bool), s *sink)
	}{
		{"query ended", func(_ func(bool), s *sink) { s.now.Add(int64(2 * time.Hour)) }},
		{"server draining", func(setAcceptsWork func(bool), _ *sink) { setAcceptsWork(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, s := startClient(t, ln.Addr().String())
			client.Send(attemptWithBody("a", 0, &storedBody{data: make([]byte, largeBody)}))
			netConn, _ := accept(t, ln)
			readBytes(t, netConn, 100)
			c.end(client.SetAcceptsWork, s)
			if n, _ := io.Copy(io.Discard, netConn); n >= largeBody {
				t.Errorf("server received %d bytes, want fewer than the body's %d", n, largeBody)
			}
			s.wantEnded(t, outcome.NotSent)
		})
	}
}

// Race: a body is truncated while another part is in flight on the same connection. The other part may have run, so it
// must not end as NotSent.
func TestTruncatedBodyEndsOtherPartsAsClosed(t *testing.T) {
	ln := listenTCP(t)
	client, s := startClient(t, ln.Addr().String())
	client.Send(attempt("a", 3, 0))
	netConn, _ := accept(t, ln)
	readBytes(t, netConn, 4)
	client.Send(attemptWithBody("b", 1, &storedBody{data: make([]byte, largeBody)}))
	readBytes(t, netConn, 100)
	client.SetAcceptsWork(false)
	go func() { _, _ = io.Copy(io.Discard, netConn) }()
	for range 2 {
		got := <-s.ended
		if want := []outcome.Outcome{outcome.ConnClosed, outcome.NotSent}[got.id.No]; got.Outcome != want {
			t.Errorf("outcome of attempt %d = %s, want %s", got.id.No, got.Outcome, want)
		}
	}
}
