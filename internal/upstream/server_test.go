package upstream_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/metrics"
	"linkpass/internal/upstream"
)

const (
	connectTimeout = 250 * time.Millisecond
	waitLimit      = 10 * time.Second // for events that the test expects
)

// server accepts connections and passes them, and the frames that it reads from them, to the test.
type server struct {
	ln     net.Listener
	conns  chan net.Conn
	frames chan string
}

func startServer(t *testing.T) *server {
	t.Helper()
	s := &server{ln: listenTCP(t), conns: make(chan net.Conn, 64), frames: make(chan string, 64)}
	go func() {
		for {
			netConn, err := s.ln.Accept()
			if err != nil {
				return
			}
			s.conns <- netConn
			go s.readFrames(netConn)
		}
	}()
	return s
}

func (s *server) addr() string { return s.ln.Addr().String() }

func (s *server) readFrames(netConn net.Conn) {
	r := bufio.NewReader(netConn)
	for {
		letter, content, err := frame.Read(r)
		if err != nil {
			return
		}
		s.frames <- string(letter) + string(content)
	}
}

func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func accept(t *testing.T, ln net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(waitLimit))
	netConn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { netConn.Close() })
	return netConn, bufio.NewReader(netConn)
}

func newConfig(s upstream.ResultSink) upstream.Config {
	return upstream.Config{
		Sink:           s,
		Counters:       metrics.NewCounters(),
		Totals:         metrics.NewTotals(nil),
		ConnectTimeout: connectTimeout,
	}
}

// startClient starts a client that is limited to two streams on a connection and eight connections, and whose
// ServerIdleTimeout is 30 s.
func startClient(t *testing.T, addr string) (*upstream.Client, *sink) {
	t.Helper()
	s := newSink()
	config := newConfig(s)
	config.ServerIdleTimeout = 30 * time.Second
	client := upstream.New(config, frame.Codec{MaxStreams: 2, ReportNames: []string{"active"}}, "s-1", addr)
	client.SetAcceptsWork(true)
	t.Cleanup(func() { client.Close(); client.Wait() })
	return client, s
}

// attempt returns a request with one attempt.
func attempt(query string, shard, number int) []coordinator.Attempt {
	return []coordinator.Attempt{{
		ID:       coordinator.AttemptID{Part: 1, No: number},
		Query:    query,
		Shard:    shard,
		Payload:  []byte("x"),
		Deadline: time.Hour,
	}}
}

func reply(netConn net.Conn, text string) {
	_, _ = netConn.Write(frame.Append(nil, frame.LetterReply, []byte(text)))
}
