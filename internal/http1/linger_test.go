package http1

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Crossing: the last response of a connection is written while the socket holds unread bytes.
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

// The same for a connection beyond MaxConns.
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
			t.Errorf("%+v %v", res, err)
		}
		_, _ = io.WriteString(client, sizedRequest) // meets a reset without lingering
		if err := r.Wait(); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	}
	next, r := dial(t, addr) // does not linger: as many do as may
	if res, err := r.Response(); err != nil || res.Status != 503 {
		t.Errorf("%+v %v", res, err)
	}
	_ = next.Close()
	s.Clock.(*fakeClock).advance(lingerTimeout)
	waitUntil(t, "the end of lingering", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.rejected) == 0 })
	close(release)
}

// Crossing: rejected connections linger as the server is closed, and the clock has stopped.
func TestCloseEndsRejectedConns(t *testing.T) {
	s, addr := startServer(t, func(context.Context, time.Duration, *Request) *Response { return nil }, 0)
	client, r := dial(t, addr)
	_, _ = io.WriteString(client, sizedRequest)
	if res, err := r.Response(); err != nil || res.Status != 503 {
		t.Fatalf("%+v %v", res, err)
	}
	done := make(chan struct{})
	go func() { defer close(done); s.Close() }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("Close waits for a client that stays connected")
	}
	_ = client.Close()
}
