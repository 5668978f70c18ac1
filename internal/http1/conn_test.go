package http1

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"linkpass/internal/membudget"
)

// After FirstRequestTimeout, a connection with an incomplete request must get status 408, and one that has sent nothing
// must be closed.
func TestConnTimesOutSlowAndSilentClients(t *testing.T) {
	s, addr := startServer(t, answerOK, 9)
	incomplete, incompleteReader := dial(t, addr)
	_, silent := dial(t, addr)
	_, _ = io.WriteString(incomplete, "POST / HTTP/1.1\r\nHost: x\r\n")
	for !s.hasConnIn(stateReading) || !s.hasConnIn(stateNew) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*fakeClock).advance(FirstRequestTimeout)
	if res, err := incompleteReader.Response(); err != nil || res.Status != 408 || !res.Close {
		t.Errorf("incomplete request: response = %+v, error = %v, want a last response with status 408", res, err)
	}
	if err := silent.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("silent connection: error = %v, want EOF", err)
	}
}

// A deadline that was armed for one state of a connection may fire after the next state has begun, because the clock
// may fire disarmed deadlines. It must not interrupt the request that is served by then.
func TestConnIgnoresLateDeadline(t *testing.T) {
	release := make(chan struct{})
	n, h := newCountingHandler(release)
	s, addr := startServer(t, h, 9, func(s *Server) { s.Clock = &fakeClock{fireDisarmed: true} })
	client, r := dial(t, addr)
	_ = WriteRequest(client, "POST", "/", "x", nil, []byte("hello"))
	waitUntil(t, "the request", func() bool { return n.Load() == 1 })
	s.Clock.(*fakeClock).advance(FirstRequestTimeout) // fires the deadlines of the wait and the read, both disarmed
	release <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 || res.Close {
		t.Fatalf("response = %+v, error = %v, want status 200 on a connection that stays open", res, err)
	}
	waitUntil(t, "an idle connection", func() bool { return s.hasConnIn(stateIdle) })
	_ = WriteRequest(client, "POST", "/", "x", nil, nil)
	release <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("next request: response = %+v, error = %v, want status 200", res, err)
	}
}

// A client that disconnects while its request is served must be noticed even if it has sent more bytes after that
// request: the end of the stream is only seen once those bytes have been read.
func TestConnCancelsOnDisconnectBehindUnreadBytes(t *testing.T) {
	entered, canceled := make(chan struct{}, 9), make(chan struct{}, 9)
	_, addr := startServer(t, func(ctx context.Context, _ time.Duration, _ *Request) *Response {
		entered <- struct{}{}
		select {
		case <-ctx.Done():
			canceled <- struct{}{}
		case <-time.After(20 * time.Second):
		}
		return &Response{Status: 200}
	}, 9)
	for name, behind := range map[string]string{
		"nothing":          "",
		"request":          sizedRequest,
		"one and a half":   sizedRequest + "POST /half",
		"more than a read": strings.Repeat("x", 30<<10),
	} {
		t.Run(name, func(t *testing.T) {
			client, _ := dial(t, addr)
			_, _ = io.WriteString(client, sizedRequest+behind)
			<-entered
			_ = client.Close()
			select {
			case <-canceled:
			case <-time.After(10 * time.Second):
				t.Errorf("context not canceled within 10 s, with %d bytes sent after the request", len(behind))
			}
		})
	}
}

// Guards against requests of clients that have left already being passed on (report 9bf5e0): a client sends several
// requests at once and closes; none that is behind the first one is served once the close has arrived.
func TestConnServesNothingForClientThatHasLeft(t *testing.T) {
	served, release := make(chan string, 9), make(chan struct{})
	s, addr := startServer(t, func(_ context.Context, _ time.Duration, req *Request) *Response {
		served <- req.Path
		<-release
		return &Response{Status: 200}
	}, 9)
	client, _ := dial(t, addr)
	_, _ = io.WriteString(client, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"+strings.Repeat("GET /behind HTTP/1.1\r\nHost: x\r\n\r\n", 500))
	if path := <-served; path != "/first" {
		t.Fatalf("served %s, want /first", path)
	}
	_ = client.Close()
	close(release)
	waitUntil(t, "the end of the connection", func() bool { return s.connCount() == 0 })
	if len(served) != 0 {
		t.Errorf("served %s after the client had left", <-served)
	}
	other, _ := dial(t, addr)
	_, _ = io.WriteString(other, sizedRequest)
	_ = other.Close()
	waitUntil(t, "the end of the other connection", func() bool { return s.connCount() == 0 })
}

// A client that sends more behind its request than is read ahead is refused, request by request, until all that has
// arrived is read: whether it has left is not known before that. Its request in service is canceled.
func TestConnRefusesOverrunClient(t *testing.T) {
	var served atomic.Int32
	canceled := make(chan error, 9)
	s, addr := startServer(t, func(ctx context.Context, _ time.Duration, _ *Request) *Response {
		if served.Add(1) == 1 {
			<-ctx.Done()
			canceled <- context.Cause(ctx)
		}
		return &Response{Status: 200}
	}, 9)
	client, r := dial(t, addr)
	requests := 3 * maxReadAheadBytes / len(sizedRequest)
	_, _ = io.WriteString(client, sizedRequest)
	waitUntil(t, "the first request", func() bool { return served.Load() == 1 })
	go func() { _, _ = io.WriteString(client, strings.Repeat(sizedRequest, requests-1)) }()
	waitUntil(t, "the deadline of an overrun connection", func() bool { return s.Clock.(*fakeClock).armedAfter(presenceLimit) == 1 })
	s.Clock.(*fakeClock).advance(presenceLimit)
	if cause := <-canceled; !errors.Is(cause, errOverrun) {
		t.Errorf("the first request was canceled with %v, want errOverrun", cause)
	}
	refused := 0
	for i := range requests {
		res, err := r.Response()
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if res.Status == 503 {
			refused++
		}
	}
	if n := s.Counters.Get("test_rejected_overrun"); refused == 0 || int(n) != refused || int(served.Load())+refused != requests {
		t.Errorf("%d requests: %d served, %d refused, counted %d; want each either served or refused", requests, served.Load(), refused, n)
	}
}

// Guards against small requests that are refused because others have exhausted the memory budget: reading on behind a
// request takes no room in it until there is much to read.
func TestConnServesSmallRequestsWhileMemoryIsExhausted(t *testing.T) {
	memory := membudget.New(100 << 10)
	greedy, _ := memory.Open(0, 0, func() {})
	s, addr := startServer(t, answerOK, 9, func(s *Server) { s.Memory = memory })
	for greedy.TryGrow(1 << 10) {
	}
	client, r := dial(t, addr)
	for range 5 {
		_, _ = io.WriteString(client, sizedRequest[:len(sizedRequest)-2])
		waitUntil(t, "the incomplete request", func() bool { return s.hasConnIn(stateReading) })
		s.Clock.(*fakeClock).advance(2 * presenceLimit) // a slow writer
		_, _ = io.WriteString(client, sizedRequest[len(sizedRequest)-2:])
		if res, err := r.Response(); err != nil || res.Status != 200 {
			t.Fatalf("response = %+v, error = %v, want status 200; counters: %v", res, err, s.Counters)
		}
	}
}

// A client that does not read its response must be disconnected after WriteTimeout.
func TestConnTimesOutClientThatNeverReads(t *testing.T) {
	s, addr := startServer(t, func(context.Context, time.Duration, *Request) *Response {
		return &Response{Status: 200, Body: make([]byte, 64<<20)} // more than the socket buffers hold
	}, 9)
	client, _ := dial(t, addr)
	_, _ = io.WriteString(client, sizedRequest)
	waitUntil(t, "the response's first byte", func() bool { _, err := client.Read(make([]byte, 1)); return err == nil })
	s.Clock.(*fakeClock).advance(WriteTimeout)
	waitUntil(t, "the close", func() bool { return s.connCount() == 0 })
	if s.Counters.Get("test_write_failed") != 1 {
		t.Errorf("counters: %v, want test_write_failed = 1", s.Counters)
	}
}
