package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"

	"linkpass/internal/counters"
)

const (
	sized   = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunked = "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\n"
)

func TestRequests(t *testing.T) {
	r := NewReader(strings.NewReader(sized+chunked), 0)
	for range 2 {
		req, err := r.Request()
		if err != nil || req.Method != "POST" || req.Path != "/a" || req.Query != "b=c" || string(req.Body) != "hello" || req.Close {
			t.Fatalf("%+v %v", req, err)
		}
	}
	head := "POST / HTTP/1.1\r\nHost: x\r\n"
	for text, status := range map[string]int{
		"POST /\r\n\r\n":                     400,
		"POST / HTTP/2.0\r\n\r\n":            505,
		"P@ST / HTTP/1.1\r\nHost: x\r\n\r\n": 400,
		"POST / HTTP/1.1\r\n\r\n":            400,
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n":          400,
		head + "Content-Length: -5\r\n\r\n":                              400,
		head + "Content-Length: 65537\r\n\r\n":                           413,
		head + "Transfer-Encoding: gzip\r\n\r\n":                         501,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                400,
		head + "Transfer-Encoding: chunked\r\n\r\n20000\r\n":             413,
		head + "Bad header\r\n\r\n":                                      400,
		head + "X: " + strings.Repeat("y", MaxHeader) + "\r\n\r\n":       431,
		"POST /" + strings.Repeat("y", MaxHeader+5000) + " HTTP/1.1\r\n": 431,
	} {
		_, err := NewReader(strings.NewReader(text), 0).Request()
		var bad *Error
		if !errors.As(err, &bad) || bad.Status != status {
			t.Errorf("%.60q: %v, want %d", text, err, status)
		}
	}
}

func TestResponses(t *testing.T) {
	var b bytes.Buffer
	_ = WriteResponse(&b, &Response{Status: 429, Header: map[string][]string{"Retry-After": {"0.25"}}, Body: []byte("no"), Close: true})
	res, err := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 100 Continue\r\n\r\n"), &b), 0).Response()
	if err != nil || res.Status != 429 || res.Header.Get("Retry-After") != "0.25" || string(res.Body) != "no" || !res.Close {
		t.Fatalf("%+v %v", res, err)
	}
	if res, err := NewReader(strings.NewReader("HTTP/1.0 200 OK\r\n\r\nuntil the end"), 0).Response(); err != nil || string(res.Body) != "until the end" {
		t.Errorf("%+v %v", res, err)
	}
}

func TestCutsAndGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SampledFrom([]string{sized, chunked}).Draw(t, "whole")
		cut := whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "at")]
		if req, err := NewReader(strings.NewReader(cut), 0).Request(); err == nil {
			t.Fatalf("took the cut %q as %+v", cut, req)
		}
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		_, _ = NewReader(bytes.NewReader(garbage), 0).Request()
		_, _ = NewReader(bytes.NewReader(garbage), 0).Response()
		_, _ = NewReader(bytes.NewReader(append([]byte(whole[:strings.Index(whole, "\r\n\r\n")+4]), garbage...)), 0).Request()
	})
}

type clock struct{}

func (clock) Now() time.Duration                        { return 0 }
func (clock) Arm(time.Duration, func()) (disarm func()) { return func() {} }

// serve starts a server whose handler hands each request to the test.
func serve(t *testing.T, h HandlerFunc, conns int) (*Server, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Name: "test", Handler: h, Clock: clock{}, Counters: counters.New(), MaxConns: conns}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ln) }()
	t.Cleanup(func() { ln.Close(); s.Stop(); <-done })
	return s, ln.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *Reader) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc, NewReader(nc, 0)
}

func TestServerKeepsConnectionsAndDrains(t *testing.T) {
	entered := make(chan string)
	leave := map[string]chan struct{}{"/0": make(chan struct{}), "/1": make(chan struct{}), "/last": make(chan struct{}), "/other": make(chan struct{})}
	s, addr := serve(t, func(_ context.Context, _ time.Duration, req *Request) *Response {
		entered <- req.Path
		<-leave[req.Path]
		return &Response{Status: 200, Body: req.Body}
	}, 2)
	nc, r := dial(t, addr)
	ask := func(path string) {
		_ = WriteRequest(nc, "POST", path, "x", nil, []byte("hello"))
		if got := <-entered; got != path {
			t.Fatalf("entered %q", got)
		}
	}
	for i := range 2 {
		path := fmt.Sprint("/", i)
		ask(path)
		leave[path] <- struct{}{}
		if res, err := r.Response(); err != nil || string(res.Body) != "hello" || res.Close {
			t.Fatalf("%+v %v", res, err)
		}
	}
	ask("/last")
	idle, idleReader := dial(t, addr)
	_ = WriteRequest(idle, "POST", "/other", "x", nil, nil)
	<-entered
	leave["/last"] <- struct{}{}
	if _, err := r.Response(); err != nil {
		t.Fatal(err)
	}
	over, overReader := dial(t, addr)
	if res, err := overReader.Response(); err != nil || res.Status != 503 || !res.Close {
		t.Errorf("past the cap: %+v %v", res, err)
	}
	_ = over.Close()
	s.Drain()
	if err := r.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection stayed: %v", err)
	}
	leave["/other"] <- struct{}{} // what was taken before the drain is still answered, and is the last
	if res, err := idleReader.Response(); err != nil || res.Status != 200 || !res.Close {
		t.Errorf("after the drain: %+v %v", res, err)
	}
}

func TestServerTellsWhatIsMalformedAndSeesClientsGo(t *testing.T) {
	gone := make(chan struct{})
	s, addr := serve(t, func(ctx context.Context, _ time.Duration, _ *Request) *Response {
		<-ctx.Done()
		close(gone)
		return &Response{Status: 200}
	}, 9)
	nc, r := dial(t, addr)
	_, _ = io.WriteString(nc, "nonsense\r\n\r\n")
	if res, err := r.Response(); err != nil || res.Status != 400 || !res.Close {
		t.Errorf("%+v %v", res, err)
	}
	if err := r.Wait(); err == nil {
		t.Error("the connection stayed open though its framing is lost")
	}
	if s.Counters.Get("test_malformed") != 1 {
		t.Error(s.Counters)
	}
	nc, _ = dial(t, addr)
	_ = WriteRequest(nc, "POST", "/", "x", nil, nil)
	_ = nc.Close()
	<-gone
}
