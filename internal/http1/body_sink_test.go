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

// A body that goes to a sink must have the same bytes as one that is read into memory, whatever its framing, and must
// be written in pieces of at most sinkWriteBytes.
func TestBodySinkReceivesSameBody(t *testing.T) {
	sinkUsed := 0
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
		sink := newFakeSink(1 << 20)
		r := NewReader(&wire, 0)
		r.NewBodySink = sink.create
		req, err := r.Request()
		if err != nil {
			t.Fatal(err)
		}
		got := req.Body
		if req.BodySink != nil {
			sinkUsed++
			got = append(sink.data, got...)
		}
		if !bytes.Equal(got, body) || (req.BodySink != nil) != (len(body) > sinkThreshold) || sink.largestWrite > sinkWriteBytes {
			t.Fatalf("got %d bytes, want the %d bytes that were sent; sink used: %v, largest write: %d bytes",
				len(got), len(body), req.BodySink != nil, sink.largestWrite)
		}
	})
	if sinkUsed == 0 {
		t.Error("no body went to a sink, want at least one")
	}
}

// If a body stays incomplete, its sink must be aborted, and a client that is still connected must get a response.
func TestBodySinkAbortedOnIncompleteBody(t *testing.T) {
	for name, c := range map[string]struct {
		capacity, status int
		afterSend        func(*Server, io.Closer)
	}{
		"disconnected": {1 << 20, 0, func(_ *Server, client io.Closer) { client.Close() }},
		"slow":         {1 << 20, 408, func(s *Server, _ io.Closer) { s.Clock.(*fakeClock).advance(FirstRequestTimeout) }},
		"sink full":    {20_000, 429, func(*Server, io.Closer) {}},
	} {
		t.Run(name, func(t *testing.T) {
			sink := newFakeSink(c.capacity)
			s, addr := startServer(t, answerOK, 9, func(s *Server) { s.NewBodySink = sink.create })
			client, r := dial(t, addr)
			_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 40_000))
			for c.capacity > 40_000 && sink.size() < 2*sinkWriteBytes {
				time.Sleep(time.Millisecond)
			}
			c.afterSend(s, client)
			<-sink.aborted
			res, err := r.Response()
			if c.status == 0 {
				return
			}
			if err != nil || res.Status != c.status || !res.Close || c.status == 429 && res.Header.Get("Retry-After") != "0.5" {
				t.Errorf("response = %+v, error = %v, want a last response with status %d", res, err, c.status)
			}
		})
	}
}

// A sink that the handler has not used must be aborted after the handler has answered.
func TestBodySinkAbortedWhenUnused(t *testing.T) {
	sink := newFakeSink(1 << 20)
	_, addr := startServer(t, func(_ context.Context, _ time.Duration, req *Request) *Response {
		if req.BodySink == nil {
			return &Response{Status: 500}
		}
		return &Response{Status: 200}
	}, 9, func(s *Server) { s.NewBodySink = sink.create })
	client, r := dial(t, addr)
	if err := WriteRequest(client, "POST", "/", "x", nil, make([]byte, 50_000)); err != nil {
		t.Fatal(err)
	}
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("response = %+v, error = %v, want status 200", res, err)
	}
	<-sink.aborted
}

// fakeSink stores what is written to it, up to a capacity in bytes. A write beyond the capacity fails with status 429.
type fakeSink struct {
	mu           sync.Mutex
	data         []byte
	largestWrite int // bytes of the largest write
	capacity     int
	aborted      chan struct{}
}

func newFakeSink(capacity int) *fakeSink {
	return &fakeSink{capacity: capacity, aborted: make(chan struct{})}
}

func (s *fakeSink) create(*Request) BodySink { return s }

func (s *fakeSink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largestWrite = max(s.largestWrite, len(p))
	if len(s.data)+len(p) > s.capacity {
		return 0, &Error{Status: 429, Reason: "no room", RetryAfter: "0.5"}
	}
	s.data = append(s.data, p...)
	return len(p), nil
}

func (s *fakeSink) Abort() { close(s.aborted) }

func (s *fakeSink) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data)
}
