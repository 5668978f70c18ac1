package emulator

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

// readHeaderTimeout is how long the HTTP servers wait for the header of a request.
const readHeaderTimeout = 10 * time.Second

// acceptConns accepts connections until the listener closes. It starts an HTTP server for those that speak HTTP, and
// ends it on return.
func (s *Server) acceptConns(listener net.Listener) {
	httpConns := &handoffListener{addr: listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	httpServer := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = httpServer.Serve(httpConns) }()
	defer httpConns.Close()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.addConn(listener, conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn, httpConns)
	}
}

// addConn registers an accepted connection, so that Kill closes it. It returns false if the server was killed after the
// accept: Kill has not closed this connection, so the caller has to.
func (s *Server) addConn(listener net.Listener, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serveConn selects the protocol by the first byte of the connection: HTTP begins with a capital letter, a frame with
// its length. It returns when the connection is closed.
func (s *Server) serveConn(conn net.Conn, httpConns *handoffListener) {
	defer s.removeConn(conn)
	reader := bufio.NewReader(conn)
	first, err := reader.Peek(1)
	if err != nil {
		_ = conn.Close()
		return
	}
	peeked := &peekedConn{Conn: conn, reader: reader, closed: make(chan struct{})}
	if first[0] < 'A' || first[0] > 'Z' {
		s.serveFrames(peeked)
		return
	}
	if httpConns.handOff(peeked) {
		<-peeked.closed
	}
}

// peekedConn is a connection whose first bytes were read into a buffer to select the protocol. Read returns them first.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
	once   sync.Once
	closed chan struct{} // closed by the first Close
}

func (c *peekedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Close closes the connection; it may be called repeatedly.
func (c *peekedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// handoffListener is a net.Listener for connections that acceptConns has accepted and that serveConn hands over.
type handoffListener struct {
	addr  net.Addr      // address of the accepting listener
	conns chan net.Conn // unbuffered, never closed; sent to by handOff
	done  chan struct{} // closed by the first Close
	once  sync.Once
}

// handOff passes a connection to Accept and waits until it is taken. If the listener closes first, handOff closes the
// connection and returns false.
func (l *handoffListener) handOff(conn *peekedConn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		_ = conn.Close()
		return false
	}
}

// Accept waits for a connection from handOff. It returns net.ErrClosed after Close.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends all waits in Accept and handOff; it may be called repeatedly.
func (l *handoffListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the accepting listener.
func (l *handoffListener) Addr() net.Addr { return l.addr }
