package http1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// spool keeps what it takes, up to a room.
type spool struct {
	mu      sync.Mutex
	data    []byte
	largest int
	room    int
	aborted chan struct{}
}

func (s *spool) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, len(p))
	if len(s.data)+len(p) > s.room {
		return 0, &Error{Status: 429, Reason: "no room", RetryAfter: "0.5"}
	}
	s.data = append(s.data, p...)
	return len(p), nil
}
func (s *spool) Abort() { close(s.aborted) }

func newSpool(room int) *spool { return &spool{room: room, aborted: make(chan struct{})} }

// A body above the threshold comes to the spool as it would have come to memory, sized or in chunks of
// any size, in pieces of bounded size.
func TestSpooledBodiesAreTheSame(t *testing.T) {
	spooledOnce := 0
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("abcdefg"), rapid.IntRange(0, 9000).Draw(t, "sevens"))
		var wire bytes.Buffer
		wire.WriteString("POST / HTTP/1.1\r\nHost: x\r\n")
		if rapid.Bool().Draw(t, "chunked") {
			wire.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for rest := body; len(rest) > 0; {
				n := min(len(rest), rapid.SampledFrom([]int{1, 100, 4096, 5000, 20_000}).Draw(t, "chunk")*7)
				fmt.Fprintf(&wire, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			wire.WriteString("0\r\n\r\n")
		} else {
			fmt.Fprintf(&wire, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		s := newSpool(1 << 20)
		r := NewReader(&wire, 0)
		r.NewBodySink = func(*Request) BodySink { return s }
		req, err := r.Request()
		if err != nil {
			t.Fatal(err)
		}
		got := req.Body
		if req.BodySink != nil {
			spooledOnce++
			got = append(s.data, got...)
		}
		if !bytes.Equal(got, body) || (req.BodySink != nil) != (len(body) > spoolFrom) || s.largest > spoolPiece {
			t.Fatalf("%d bytes of %d, spooled %v, a piece of %d", len(got), len(body), req.BodySink != nil, s.largest)
		}
	})
	if spooledOnce == 0 {
		t.Error("nothing was spooled")
	}
}

// A client that goes in the middle of its body, one that sends it drop by drop, and one whose body finds no
// room: what was taken is given up, and those who can hear it are told.
func TestBodiesThatDoNotCome(t *testing.T) {
	for name, c := range map[string]struct {
		room, status int
		then         func(*Server, io.Closer)
	}{
		"gone":    {1 << 20, 0, func(_ *Server, nc io.Closer) { nc.Close() }},
		"slow":    {1 << 20, 408, func(s *Server, _ io.Closer) { s.Clock.(*clock).pass(FirstRequestTimeout) }},
		"crowded": {20_000, 429, func(*Server, io.Closer) {}},
	} {
		there := newSpool(c.room)
		s, addr := serve(t, func(context.Context, time.Duration, *Request) *Response { return &Response{Status: 200} }, 9,
			func(s *Server) { s.NewBodySink = func(*Request) BodySink { return there } })
		nc, r := dial(t, addr)
		_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 40_000))
		for c.room > 40_000 {
			there.mu.Lock()
			n := len(there.data)
			there.mu.Unlock()
			if n >= 2*spoolPiece { // it is on its way
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.then(s, nc)
		<-there.aborted
		res, err := r.Response()
		if c.status == 0 {
			continue
		}
		if err != nil || res.Status != c.status || !res.Close || c.status == 429 && res.Header.Get("Retry-After") != "0.5" {
			t.Errorf("%s: %+v %v", name, res, err)
		}
	}
}

// What the handler does not make use of is given up with the answer.
func TestUnusedSpoolsAreAborted(t *testing.T) {
	there := newSpool(1 << 20)
	_, addr := serve(t, func(_ context.Context, _ time.Duration, req *Request) *Response {
		if req.BodySink == nil {
			return &Response{Status: 500}
		}
		return &Response{Status: 200}
	}, 9, func(s *Server) { s.NewBodySink = func(*Request) BodySink { return there } })
	nc, r := dial(t, addr)
	if err := WriteRequest(nc, "POST", "/", "x", nil, make([]byte, 50_000)); err != nil {
		t.Fatal(err)
	}
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("%+v %v", res, err)
	}
	<-there.aborted
}
