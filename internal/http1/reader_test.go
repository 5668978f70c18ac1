package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

func TestReaderRequestReadsSizedAndChunkedBodies(t *testing.T) {
	r := NewReader(strings.NewReader(sizedRequest+chunkedRequest), 0)
	for range 2 {
		req, err := r.Request()
		if err != nil || req.Method != "POST" || req.Path != "/a" || req.Query != "b=c" ||
			string(req.Body) != "hello" || req.Close {
			t.Fatalf("request = %+v, error = %v, want the request that was sent, with Close unset", req, err)
		}
	}
}

func TestReaderRequestRejectsMalformedRequests(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no version":             {"POST /\r\n\r\n", 400},
		"version 2":              {"POST / HTTP/2.0\r\n\r\n", 505},
		"method":                 {"P@ST / HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"no host":                {"POST / HTTP/1.1\r\n\r\n", 400},
		"sized and chunked":      {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"two lengths":            {head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400},
		"negative length":        {head + "Content-Length: -5\r\n\r\n", 400},
		"body too large":         {head + "Content-Length: 65537\r\n\r\n", 413},
		"transfer encoding":      {head + "Transfer-Encoding: gzip\r\n\r\n", 501},
		"chunk length":           {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"chunks too large":       {head + "Transfer-Encoding: chunked\r\n\r\n20000\r\n", 413},
		"header field":           {head + "Bad header\r\n\r\n", 400},
		"header too large":       {head + "X: " + strings.Repeat("y", MaxHeader) + "\r\n\r\n", 431},
		"request line too large": {"POST /" + strings.Repeat("y", MaxHeader+5000) + " HTTP/1.1\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(c.text), 0).Request()
			var rejected *Error
			if !errors.As(err, &rejected) || rejected.Status != c.status {
				t.Errorf("request %.60q: error = %v, want status %d", c.text, err, c.status)
			}
		})
	}
}

func TestReaderResponseReadsResponsesWithAndWithoutLength(t *testing.T) {
	var b bytes.Buffer
	_ = WriteResponse(&b, &Response{
		Status: 429, Header: map[string][]string{"Retry-After": {"0.25"}}, Body: []byte("no"), Close: true,
	})
	res, err := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 100 Continue\r\n\r\n"), &b), 0).Response()
	if err != nil || res.Status != 429 || res.Header.Get("Retry-After") != "0.25" ||
		string(res.Body) != "no" || !res.Close {
		t.Fatalf("response = %+v, error = %v, want the written one, with status 429", res, err)
	}
	res, err = NewReader(strings.NewReader("HTTP/1.0 200 OK\r\n\r\nuntil the end"), 0).Response()
	if err != nil || string(res.Body) != "until the end" {
		t.Errorf("response = %+v, error = %v, want body \"until the end\"", res, err)
	}
}

func TestReaderRejectsTruncatedAndSurvivesArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.SampledFrom([]string{sizedRequest, chunkedRequest}).Draw(t, "message")
		truncated := message[:rapid.IntRange(0, len(message)-1).Draw(t, "at")]
		if req, err := NewReader(strings.NewReader(truncated), 0).Request(); err == nil {
			t.Fatalf("truncated request %q was accepted as %+v, want an error", truncated, req)
		}
		arbitrary := rapid.SliceOf(rapid.Byte()).Draw(t, "arbitrary")
		_, _ = NewReader(bytes.NewReader(arbitrary), 0).Request()
		_, _ = NewReader(bytes.NewReader(arbitrary), 0).Response()
		head := message[:strings.Index(message, "\r\n\r\n")+4]
		_, _ = NewReader(bytes.NewReader(append([]byte(head), arbitrary...)), 0).Request()
	})
}

// A response without a length ends with the stream. A reset must be an error and not count as that end, and a response
// that never ends must be rejected at the size limit.
func TestResponseWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		end func(*net.TCPConn)
		ok  bool
	}{
		"close":  {func(conn *net.TCPConn) { _ = conn.Close() }, true},
		"reset":  {func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }, false},
		"no end": {func(conn *net.TCPConn) { _, _ = io.Copy(conn, endlessReader{}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			client, r := dial(t, ln.Addr().String())
			accepted, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(accepted, "HTTP/1.1 200 OK\r\n\r\n{\"whole\":true}")
			if err := r.Wait(); err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() { defer close(done); c.end(accepted.(*net.TCPConn)) }()
			if name != "no end" {
				<-done
			}
			if res, err := r.Response(); (err == nil) != c.ok {
				t.Errorf("response = %+v, error = %v, want success: %v", res, err, c.ok)
			}
			_ = client.Close()
			<-done
		})
	}
}

// endlessReader is a stream of zero bytes without an end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
