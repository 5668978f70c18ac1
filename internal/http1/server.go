package http1

import (
	"context"
	"errors"
	"log"
	"net"
	"sync"
	"time"

	"linkpass/internal/counters"
)

// Handler answers requests. began is when the request's first byte was seen;
// the context ends when the client has gone. One answer is written for each.
type Handler interface {
	Serve(ctx context.Context, began time.Duration, req *Request) *Response
}

// HandlerFunc is a function that answers requests.
type HandlerFunc func(ctx context.Context, began time.Duration, req *Request) *Response

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, began time.Duration, req *Request) *Response {
	return f(ctx, began, req)
}

// Clock is the shared clock with its deadlines.
type Clock interface {
	Now() time.Duration
	Arm(at time.Duration, fire func()) (disarm func())
}

// Time limits of a connection.
const (
	IdleLimit    = 5 * time.Minute  // between requests
	MessageLimit = 10 * time.Second // from a request's first byte to its last
	WriteLimit   = 5 * time.Second
)

// Server serves one listener.
type Server struct {
	Name     string // of the front, for the log
	Handler  Handler
	Clock    Clock
	Counters *counters.Set
	MaxConns int
	MaxBody  int64

	mu       sync.Mutex
	conns    map[*conn]bool // true: a request is being read or answered
	draining bool
	stopped  bool
	wg       sync.WaitGroup
}

type conn struct {
	net.Conn
	server *Server
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Guards against a shortage of descriptors: it passes, the listener stays.
			log.Printf("event=accept_failed front=%s err=%q", s.Name, err)
			s.Counters.Add(s.Name+"_accept_failed", 1)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.Counters.Add(s.Name+"_conns", 1)
		c := &conn{Conn: nc, server: s}
		if !s.enter(c) {
			s.Counters.Add(s.Name+"_conns_over", 1)
			_ = WriteResponse(nc, &Response{Status: 503, Close: true}) // a new connection has room for so little
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) enter(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	if len(s.conns) >= s.MaxConns || s.stopped {
		return false
	}
	s.conns[c] = false
	s.wg.Add(1)
	return true
}

// mark notes whether a connection is at work, and tells whether it may go on.
func (s *Server) mark(c *conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped && busy && !s.conns[c] || s.draining && !busy {
		return false
	}
	s.conns[c] = busy
	return true
}

// Drain makes every answer the last of its connection and closes the idle
// connections; new ones are still served.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.closeIdle()
}

// Stop takes no further request and waits until those taken are answered.
func (s *Server) Stop() {
	s.mu.Lock()
	s.draining, s.stopped = true, true
	s.closeIdle()
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) closeIdle() {
	for c, busy := range s.conns {
		if !busy {
			_ = c.Close()
		}
	}
}

// Draining tells whether the server is about to stop.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// serve reads requests one after another. While one is being answered the next
// byte is awaited, which shows at once when the client goes away.
func (c *conn) serve() {
	s := c.server
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.wg.Done()
	}()
	reader := NewReader(c, s.MaxBody)
	expire := func() { _ = c.SetReadDeadline(time.Unix(1, 0)) } // never blocks
	next := make(chan error, 1)
	await := func() { next <- reader.Wait() }
	go await()
	for {
		disarm := s.Clock.Arm(s.Clock.Now()+IdleLimit, expire)
		err := <-next
		disarm()
		if err != nil || !s.mark(c, true) {
			return
		}
		began := s.Clock.Now()
		disarm = s.Clock.Arm(began+MessageLimit, expire)
		req, err := reader.Request()
		disarm()
		if err != nil {
			c.complain(err)
			return
		}
		s.Counters.Add(s.Name+"_requests", 1)
		ctx, gone := context.WithCancel(context.Background())
		served := make(chan bool, 1)
		go func() { served <- c.answer(ctx, began, req) }()
		go await()
		var alive bool
		select {
		case err := <-next:
			if err != nil {
				gone()
			}
			next <- err
			alive = <-served
		case alive = <-served:
		}
		gone()
		if !alive || !s.mark(c, false) {
			_ = c.Close() // ends the wait for the next byte
			<-next
			return
		}
	}
}

// answer writes the answer to one request and tells whether the connection may
// carry another.
func (c *conn) answer(ctx context.Context, began time.Duration, req *Request) bool {
	res := c.server.Handler.Serve(ctx, began, req)
	if ctx.Err() != nil {
		c.server.Counters.Add(c.server.Name+"_unread", 1)
		return false
	}
	res.Close = res.Close || req.Close || c.server.Draining()
	return c.write(res) && !res.Close
}

func (c *conn) write(res *Response) bool {
	disarm := c.server.Clock.Arm(c.server.Clock.Now()+WriteLimit, func() { _ = c.Close() })
	err := WriteResponse(c, res)
	disarm()
	if err != nil {
		c.server.Counters.Add(c.server.Name+"_write_failed", 1)
		return false
	}
	return true
}

// complain tells a client what was wrong with a request whose framing is lost.
func (c *conn) complain(err error) {
	var bad *Error
	if !errors.As(err, &bad) {
		return // cut short: nobody is there to be told
	}
	c.server.Counters.Add(c.server.Name+"_malformed", 1)
	log.Printf("event=request_malformed front=%s status=%d reason=%q", c.server.Name, bad.Status, bad.Reason)
	c.write(&Response{Status: bad.Status, Close: true, Body: []byte(bad.Reason + "\n")})
}
