package http1

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// An incomplete request is answered in time, and a silent connection closed.
func TestConnTimesOutSlowAndSilentClients(t *testing.T) {
	s, addr := startServer(t, answerOK, 9)
	half, halfReader := dial(t, addr)
	_, silent := dial(t, addr)
	_, _ = io.WriteString(half, "POST / HTTP/1.1\r\nHost: x\r\n")
	for !s.hasConnIn(stateReading) || !s.hasConnIn(stateNew) {
		time.Sleep(time.Millisecond)
	}
	s.Clock.(*fakeClock).advance(FirstRequestTimeout)
	if res, err := halfReader.Response(); err != nil || res.Status != 408 || !res.Close {
		t.Errorf("half a request: %+v %v", res, err)
	}
	if err := silent.Wait(); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection stayed: %v", err)
	}
}

// Crossing: a state's deadline fires after the next state has begun. Guards the request that is served then.
func TestConnIgnoresLateDeadline(t *testing.T) {
	release := make(chan struct{})
	n, h := newCountingHandler(release)
	s, addr := startServer(t, h, 9, func(s *Server) { s.Clock = &fakeClock{late: true} })
	client, r := dial(t, addr)
	_ = WriteRequest(client, "POST", "/", "x", nil, []byte("hello"))
	waitUntil(t, "the request", func() bool { return n.Load() == 1 })
	s.Clock.(*fakeClock).advance(FirstRequestTimeout) // of the wait and of the request, both disarmed
	release <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 || res.Close {
		t.Fatalf("%+v %v", res, err)
	}
	waitUntil(t, "an idle connection", func() bool { return s.hasConnIn(stateIdle) })
	_ = WriteRequest(client, "POST", "/", "x", nil, nil)
	release <- struct{}{}
	if res, err := r.Response(); err != nil || res.Status != 200 {
		t.Errorf("the next request: %+v %v", res, err)
	}
}

// Crossing: a client disconnects behind bytes that it has sent.
func TestConnCancelsOnDisconnectBehindUnreadBytes(t *testing.T) {
	canceled := make(chan struct{}, 9)
	_, addr := startServer(t, func(ctx context.Context, _ time.Duration, _ *Request) *Response {
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
			_ = client.Close()
			select {
			case <-canceled:
			case <-time.After(10 * time.Second):
				t.Errorf("not canceled with %d bytes behind the request", len(behind))
			}
		})
	}
}

// A client that never reads its response is disconnected after WriteTimeout.
func TestConnTimesOutClientThatNeverReads(t *testing.T) {
	s, addr := startServer(t, func(context.Context, time.Duration, *Request) *Response {
		return &Response{Status: 200, Body: make([]byte, 64<<20)} // more than a socket buffers
	}, 9)
	client, _ := dial(t, addr)
	_, _ = io.WriteString(client, sizedRequest)
	waitUntil(t, "the response's first byte", func() bool { _, err := client.Read(make([]byte, 1)); return err == nil })
	s.Clock.(*fakeClock).advance(WriteTimeout)
	waitUntil(t, "the close", func() bool { return s.connCount() == 0 })
	if s.Counters.Get("test_write_failed") != 1 {
		t.Error(s.Counters)
	}
}
