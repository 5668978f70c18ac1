package http1

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

func TestServerRejectsMalformedAndCancelsOnDisconnect(t *testing.T) {
	entered, canceled := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(ctx context.Context, _ time.Duration, _ *Request) *Response {
		close(entered)
		<-ctx.Done()
		close(canceled)
		return &Response{Status: 200}
	}, 9)
	client, r := dial(t, addr)
	_, _ = io.WriteString(client, "nonsense\r\n\r\n")
	if res, err := r.Response(); err != nil || res.Status != 400 || !res.Close {
		t.Errorf("response = %+v, error = %v, want a last response with status 400", res, err)
	}
	if err := r.Wait(); err == nil {
		t.Error("connection stayed open after a malformed request, want it closed")
	}
	if s.Counters.Get("test_malformed") != 1 {
		t.Errorf("counters: %v, want test_malformed = 1", s.Counters)
	}
	client, _ = dial(t, addr)
	_ = WriteRequest(client, "POST", "/", "x", nil, nil)
	<-entered
	_ = client.Close()
	<-canceled
}

// Without TCP_NODELAY, a small response may wait in the socket for more bytes, and a reset during that time discards
// it.
func TestServerSetsNoDelay(t *testing.T) {
	_, h := newCountingHandler(closedChan())
	s, addr := startServer(t, h, 9)
	client, r := dial(t, addr)
	_, _ = io.WriteString(client, sizedRequest)
	if _, err := r.Response(); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		_ = raw.Control(func(fd uintptr) {
			on, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		})
		if on != 1 {
			t.Error("TCP_NODELAY is off")
		}
	}
}
