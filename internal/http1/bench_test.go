package http1_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"linkpass/internal/http1"
	"linkpass/internal/metrics"
)

// stoppedClock is a Clock that always returns 0 and never fires a deadline.
type stoppedClock struct{}

func (stoppedClock) Now() time.Duration               { return 0 }
func (stoppedClock) Arm(time.Duration, func()) func() { return func() {} }

// discardSink is a BodySink that discards what is written to it.
type discardSink struct{}

func (discardSink) Write(p []byte) (int, error) { return len(p), nil }
func (discardSink) Abort()                      {}

// BenchmarkServer measures one request and its response on a connection that is kept alive, including the client side.
func BenchmarkServer(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http1.Server{
		Name:     "bench",
		Clock:    stoppedClock{},
		Counters: metrics.NewCounters(),
		MaxConns: 1,
		Handler: http1.HandlerFunc(func(_ context.Context, _ time.Duration, req *http1.Request) *http1.Response {
			return &http1.Response{Status: 200, Body: req.Body}
		}),
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	reader, body := http1.NewReader(conn, 0), make([]byte, 500)
	b.ReportAllocs()
	for b.Loop() {
		_ = http1.WriteRequest(conn, "POST", "/checkout", "x", nil, body)
		if res, err := reader.Response(); err != nil || res.Status != 200 {
			b.Fatalf("response = %+v, error = %v, want status 200", res, err)
		}
	}
	_ = conn.Close()
	_ = ln.Close()
	<-done
	s.Stop()
}

// BenchmarkReadRequest measures reading one request from memory, for each form of its body.
func BenchmarkReadRequest(b *testing.B) {
	const head = "POST /checkout HTTP/1.1\r\nHost: x\r\n"
	large := strings.Repeat("x", 40_000)
	for name, text := range map[string]string{
		"sized":   head + "Content-Length: 5\r\n\r\nhello",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"sink":    fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(large), large),
	} {
		b.Run(name, func(b *testing.B) {
			source := strings.NewReader(text)
			reader := http1.NewReader(source, 0)
			reader.NewBodySink = func(*http1.Request) http1.BodySink { return discardSink{} }
			b.ReportAllocs()
			for b.Loop() {
				if _, err := source.Seek(0, io.SeekStart); err != nil {
					b.Fatal(err)
				}
				if _, err := reader.Request(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
