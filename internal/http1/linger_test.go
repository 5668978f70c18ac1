package http1

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// The last response of a connection may be written while the socket holds unread bytes. It must reach the client:
// closing the socket at once would reset the connection.
func TestLingerDeliversLastResponseOverUnreadBytes(t *testing.T) {
	release := make(chan struct{})
	n, h := newCountingHandler(release)
	s, addr := startServer(t, h, 9)
	client, r := dial(t, addr)
	moreThanReadAhead := strings.Repeat(sizedRequest, maxReadAheadBytes/len(sizedRequest)+99)
	_, _ = io.WriteString(client, sizedRequest+moreThanReadAhead)
	waitUntil(t, "the request", func() bool { return n.Load() == 1 })
	s.Drain()
	close(release)
	waitUntil(t, "the end of the connection", func() bool { return s.hasConnIn(stateLingering) || s.connCount() == 0 })
	expectLastResponse(t, r, 200)
	_ = client.Close()
	waitUntil(t, "the close", func() bool { return s.connCount() == 0 })
	if n.Load() != 1 {
		t.Errorf("%d requests were served, want none after the last response", n.Load())
	}
}

// The same holds for the response 503 to a connection beyond MaxConns.
func TestLingerDeliversRejectionOverUnreadBytes(t *testing.T) {
	release := make(chan struct{})
	n, h := newCountingHandler(release)
	s, addr := startServer(t, h, 1)
	first, _ := dial(t, addr)
	_ = WriteRequest(first, "POST", "/", "x", nil, nil)
	waitUntil(t, "the first request", func() bool { return n.Load() == 1 })
	for range maxLingeringRejected {
		client, r := dial(t, addr)
		_, _ = io.WriteString(client, sizedRequest)
		if res, err := r.Response(); err != nil || res.Status != 503 {
			t.Errorf("response = %+v, error = %v, want status 503", res, err)
		}
		_, _ = io.WriteString(client, sizedRequest) // would cause a reset if the server did not linger
		if err := r.Wait(); !errors.Is(err, io.EOF) {
			t.Errorf("connection ended with %v, want EOF", err)
		}
	}
	next, r := dial(t, addr) // does not linger: maxLingeringRejected connections already do
	if res, err := r.Response(); err != nil || res.Status != 503 {
		t.Errorf("response = %+v, error = %v, want status 503", res, err)
	}
	_ = next.Close()
	// A client sees the half-close before the server arms the deadline: the clock must stand still until then.
	clock := s.Clock.(*fakeClock)
	waitUntil(t, "the deadlines of lingering", func() bool {
		return clock.armedAfter(lingerTimeout) == maxLingeringRejected
	})
	clock.advance(lingerTimeout)
	waitUntil(t, "the end of lingering", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.rejected) == 0 })
	close(release)
}

// Close must end rejected connections that linger, even if the clock has stopped and lingerTimeout never passes.
func TestCloseEndsRejectedConns(t *testing.T) {
	s, addr := startServer(t, func(context.Context, time.Duration, *Request) *Response { return nil }, 0)
	client, r := dial(t, addr)
	_, _ = io.WriteString(client, sizedRequest)
	if res, err := r.Response(); err != nil || res.Status != 503 {
		t.Fatalf("response = %+v, error = %v, want status 503", res, err)
	}
	done := make(chan struct{})
	go func() { defer close(done); s.Close() }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("Close did not return within 10 s while a client stayed connected")
	}
	_ = client.Close()
}
