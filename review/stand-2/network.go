//go:build review2

package main

import (
	"io"
	"net"
	"sync"
)

// network is what lies between the data centres: a link for each party that another one calls. While a link is cut it
// says nothing: open connections stay open and silent, and new ones carry nothing. They are reset once it is back.
type network struct {
	mu    sync.Mutex
	links []*link
}

type link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool // both sides of all connections
}

// link returns the address at which a party reaches the target through a link of its own.
func (n *network) link(target string) string {
	listener := listen()
	l := &link{target: target, listener: listener, conns: map[net.Conn]bool{}}
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return listener.Addr().String()
}

// cut cuts all links.
func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.mu.Lock()
		l.cut = true
		l.mu.Unlock()
	}
}

// heal brings all links back. What was open on them is reset.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.mu.Lock()
		l.cut = false
		for conn := range l.conns {
			reset(conn)
		}
		clear(l.conns)
		l.mu.Unlock()
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// add remembers a side of a connection, and reports whether the link is up.
func (l *link) add(conn net.Conn) (up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return !l.cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// carry carries one connection.
func (l *link) carry(near net.Conn) {
	if !l.add(near) {
		return // silent until the link is back
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		l.end(near)
		return
	}
	l.add(far)
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(far, near) })
	copying.Go(func() { l.copy(near, far) })
	copying.Wait()
	if !l.isCut() {
		l.end(near)
		l.end(far)
	}
}

// copy carries bytes one way. Bytes that arrive while the link is cut are dropped.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.isCut() {
			if err != nil {
				return // the other side does not learn of the end
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	l.end(to)
	l.end(from)
}

func (l *link) end(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	reset(conn)
}
