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

// Handler answers requests. startedAt is the time on the Server's clock at which the first byte of the request was
// received. ctx is canceled when the client disconnects. Serve returns the only response that is written for the
// request; it must not be nil.
type Handler interface {
	Serve(ctx context.Context, startedAt time.Duration, req *Request) *Response
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, startedAt time.Duration, req *Request) *Response

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, startedAt time.Duration, req *Request) *Response {
	return f(ctx, startedAt, req)
}

// Clock supplies the time and the deadlines of a Server.
type Clock interface {
	// Now returns the time since the clock's start.
	Now() time.Duration
	// Arm calls fire at the given time, unless disarm is called before. fire may still be called after disarm.
	Arm(at time.Duration, fire func()) (disarm func())
}

// Server serves the connections of one listener, each on a goroutine of its own; Stop and Close wait for all of them.
// The exported fields must be set before Serve is called.
type Server struct {
	Name        string // of the front, in the log and in the names of the counters
	Handler     Handler
	Clock       Clock
	Counters    *metrics.Counters
	MaxConns    int                     // largest number of connections; SetMaxConns changes it while the server runs
	MaxBody     int64                   // largest request body in bytes; 0 means DefaultMaxBody
	NewBodySink func(*Request) BodySink // creates the sinks of large request bodies; if nil, bodies are held in memory

	malformedLog eventlog.RateLimited
	running      sync.WaitGroup // goroutines of conns and rejected

	mu              sync.Mutex     // guards the fields below, MaxConns, and the states of the connections
	stateChanged    sync.Cond      // with mu; signals that a connection has changed its state or has ended
	conns           map[*conn]bool // admitted connections
	rejected        map[*conn]bool // lingering connections that were rejected because of MaxConns
	draining        bool           // also true once the server has been stopped
	drainGeneration int            // calls of Drain and Resume; a sweep armed before the latest one does nothing
	stopped         bool           // Stop or Close has been called
}

// Serve accepts connections until the listener is closed or its deadline has passed, and then returns nil. Other accept
// errors are logged, and Serve tries again after acceptRetryDelay.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			// Errors such as a lack of file descriptors are temporary, so the listener stays open.
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

// admit adds a connection. If MaxConns is reached, it evicts another one, so that clients that only connect or stay
// idle do not keep out clients that send requests. It returns false if no connection can be evicted.
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

// reject answers a connection that exceeds MaxConns with status 503. Its request has most likely arrived already, and
// is not read. The connection therefore lingers, so that the response is not lost, unless maxLingeringRejected others
// do.
func (s *Server) reject(c *conn) {
	_ = WriteResponse(c, &Response{Status: statusServiceUnavailable, Close: true}) // fits into a new socket's buffer
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

// lingerRejected lingers on a rejected connection, closes it and removes it from the server.
func (s *Server) lingerRejected(c *conn) {
	c.linger()
	_ = c.Close()
	s.mu.Lock()
	delete(s.rejected, c)
	s.mu.Unlock()
	s.running.Done()
}
