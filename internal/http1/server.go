package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
)

// Handler answers requests. began is when the request's first byte was received, on the Server's clock; ctx ends when
// the client has disconnected. One response is written for each request.
type Handler interface {
	Serve(ctx context.Context, began time.Duration, req *Request) *Response
}

// HandlerFunc is a function that answers requests.
type HandlerFunc func(ctx context.Context, began time.Duration, req *Request) *Response

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, began time.Duration, req *Request) *Response {
	return f(ctx, began, req)
}

// Clock is the clock of all deadlines. fire may still be called after disarm.
type Clock interface {
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
}

// Server serves one listener. It owns a goroutine for each connection; Stop and Close wait for all of them.
type Server struct {
	Name        string // of the front, for the log and the counters
	Handler     Handler
	Clock       Clock
	Counters    *metrics.Counters
	MaxConns    int                     // SetMaxConns changes it while the server runs
	MaxBody     int64                   // bytes of a request's body; 0: the package's MaxBody
	NewBodySink func(*Request) BodySink // of large bodies; nil: they lie in memory

	malformedLog eventlog.RateLimited
	running      sync.WaitGroup // the connections' goroutines

	mu              sync.Mutex // guards what follows, MaxConns, and the connections' states
	stateChanged    sync.Cond  // on mu: a connection has left its state, or ended
	conns           map[*conn]bool
	rejected        map[*conn]bool // connections beyond MaxConns that linger
	draining        bool
	drainGeneration int // counts Drain and Resume; a sweep armed for an earlier one is void
	stopped         bool
}

// Serve accepts until the listener is closed or its deadline has passed, and returns nil then.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			// Guards against a shortage of descriptors, which passes: the listener stays.
			eventlog.AcceptFailed.Log(s.Name, err)
			s.Counters.Add(s.Name+"_accept_failed", 1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.Counters.Add(s.Name+"_conns", 1)
		c := &conn{Conn: nc, server: s, stateSince: s.Clock.Now()}
		c.readAhead.Reader = nc
		if !s.admit(c) {
			s.Counters.Add(s.Name+"_conns_over", 1)
			s.reject(c)
			continue
		}
		go c.serve()
	}
}

// admit adds a connection. Where MaxConns is reached another is evicted: guards clients that send requests against
// those that only connect, or stay idle.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns, s.stateChanged.L = map[*conn]bool{}, &s.mu
	}
	for len(s.conns) >= s.MaxConns {
		if !s.evictOne() {
			return false
		}
	}
	s.conns[c] = true
	s.running.Add(1)
	return true
}

// reject answers a connection beyond MaxConns with status 503. Its request has most likely arrived already, so that it
// lingers, unless too many do.
func (s *Server) reject(c *conn) {
	_ = WriteResponse(c, &Response{Status: statusServiceUnavailable, Close: true}) // a new socket's buffer holds it
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rejected) == maxLingeringRejected || s.stopped {
		_ = c.Close()
		return
	}
	if s.rejected == nil {
		s.rejected = map[*conn]bool{}
	}
	s.rejected[c] = true
	s.running.Add(1)
	go s.lingerRejected(c)
}

func (s *Server) lingerRejected(c *conn) {
	c.linger()
	_ = c.Close()
	s.mu.Lock()
	delete(s.rejected, c)
	s.mu.Unlock()
	s.running.Done()
}
