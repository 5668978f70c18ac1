package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/fairqueue"
	"linkpass/internal/membudget"
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
	Name     string // of the front, in the log and in the names of the counters
	Handler  Handler
	Clock    Clock
	Counters *metrics.Counters
	MaxConns int // largest number of connections; SetMaxConns changes it while the server runs
	// Work divides processor time among the connections; it is shared by all servers. nil: the connections do not wait
	// for one another.
	Work *fairqueue.Scheduler
	// Memory bounds what the connections hold; it is shared by all servers. nil: there is no bound.
	Memory *membudget.Budget
	// HeaderFields are the canonical names of the header fields that Handler reads. Others are dropped. nil: all are kept.
	HeaderFields []string
	MaxBody      int64                   // largest request body in bytes; 0 means DefaultMaxBody
	NewBodySink  func(*Request) BodySink // creates the sinks of large request bodies; if nil, bodies are held in memory

	malformedLog eventlog.RateLimited
	acceptLog    eventlog.RateLimited
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
	pace := newAcceptPace()
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			// Errors such as a lack of file descriptors are temporary, so the listener stays open.
			s.acceptLog.Log(eventlog.AcceptFailed, s.Name, err)
			s.count("accept_failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.count("conns")
		pace.wait(s.start(nc))
	}
}

// start serves an accepted connection, or rejects it, and returns what that costs. A connection whose client has left
// already is closed at once: a client that connects over and over must not keep others waiting at the socket.
func (s *Server) start(nc net.Conn) (cost time.Duration) {
	c := &conn{Conn: nc, server: s, stateSince: s.Clock.Now()}
	c.readAhead = readAhead{Conn: nc, flow: s.Work.NewFlow(), now: s.Clock.Now, presentAt: c.stateSince}
	if c.readAhead.hasClosed() {
		s.count(string(closedUnread))
		_ = nc.Close()
		return acceptCost
	}
	admitted, evicted := s.admit(c)
	cost = acceptCost + connCost + time.Duration(evicted)*evictionCost
	if !admitted {
		s.reject(c)
		return cost
	}
	go c.serve()
	return cost
}

// count adds 1 to the server's counter of that name.
func (s *Server) count(name string) { s.Counters.Add(s.Name+"_"+name, 1) }

// admit adds a connection. If MaxConns is reached, it evicts another one, so that clients that only connect or stay
// idle do not keep out clients that send requests. It returns false if no connection can be evicted, and the number of
// evictions.
func (s *Server) admit(c *conn) (admitted bool, evicted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns, s.stateChanged.L = map[*conn]bool{}, &s.mu
	}
	c.inCrowd = s.isCrowded()
	if headroom := s.MaxConns / evictionHeadroom; headroom > 0 && len(s.conns) >= s.MaxConns-headroom {
		s.interruptOne()
		evicted++
	}
	for ; len(s.conns) >= s.MaxConns; evicted++ {
		if !s.evictOneOf(rankStuckRequest) {
			s.count("conns_over")
			return false, evicted
		}
	}
	for ; !s.openAccount(c); evicted++ {
		if !s.evictOneOf(rankStuckFirst) {
			s.count("conns_over_memory")
			return false, evicted
		}
	}
	s.conns[c] = true
	s.running.Add(1)
	return true, evicted
}

// openAccount opens the memory account of a connection. It returns false if there is no memory for it.
func (s *Server) openAccount(c *conn) (ok bool) {
	shed := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.state == stateReading { // otherwise the request has arrived meanwhile
			s.count("shed_memory")
			c.interruptRead()
		}
	}
	c.readAhead.account, ok = s.Memory.Open(connBytes, requestAllowance, shed)
	return ok
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
