package emulator

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

const readHeaderTimeout = 10 * time.Second

// acceptConns accepts connections until the listener closes, and ends the HTTP server that it starts.
func (s *Server) acceptConns(listener net.Listener) {
	searches := &handoffListener{addr: listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	web := &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = web.Serve(searches) }()
	defer searches.Close()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.addConn(listener, conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn, searches)
	}
}

// addConn is false if the server was killed between the accept and now: Kill has not closed this connection.
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

// serveConn selects the protocol by the first byte: HTTP begins with a capital letter, a frame with its length.
// It returns when the connection is closed.
func (s *Server) serveConn(conn net.Conn, searches *handoffListener) {
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
	if searches.handOff(peeked) {
		<-peeked.closed
	}
}

// peekedConn is a connection some bytes of which lie in a buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
	once   sync.Once
	closed chan struct{} // closed by the first Close
}

func (c *peekedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Close closes the connection.
func (c *peekedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// handoffListener is a listener of connections that acceptConns has accepted.
type handoffListener struct {
	addr  net.Addr
	conns chan net.Conn // unbuffered, never closed; sent to by handOff
	done  chan struct{} // closed by the first Close
	once  sync.Once
}

// handOff waits until the connection is accepted. It closes it and is false if the listener closes first.
func (l *handoffListener) handOff(conn *peekedConn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		_ = conn.Close()
		return false
	}
}

// Accept returns net.ErrClosed after Close.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and handOff; it may be called repeatedly.
func (l *handoffListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is the address of the accepting listener.
func (l *handoffListener) Addr() net.Addr { return l.addr }
