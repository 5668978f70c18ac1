//go:build review

package main

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// network stands in for the links between data centres. Each link is a listener in front of one address, for one party.
// While a zone is cut off, the links that cross its border say nothing: what was sent stays on its way, open connections
// stay open and silent, and new ones do not come up. When the cut ends, the connections that were open before carry on:
// the bytes that were on their way arrive, and then the end of the connection, if a side has closed it meanwhile.
type network struct {
	r *run

	mu    sync.Mutex
	cut   string        // the zone that is cut off; "" if none is
	clear chan struct{} // closed when the present cut ends
	links []*link
}

// link is the way from a party in one zone to an address in another.
type link struct {
	network  *network
	from, to string // zones
	target   string
	ln       net.Listener
	note     func([]byte) // is told of bytes that arrive after a cut, from either side; may be nil
	fill     []net.Conn   // connections that fill the listener's queue during a cut
}

func (r *run) newNetwork() *network { return &network{r: r} }

// link returns an address that leads from a zone to an address in another zone. Within a zone it is the address itself.
func (n *network) link(from, to, target string, note func([]byte)) (string, error) {
	if from == to {
		return target, nil
	}
	ln, err := listenShort()
	if err != nil {
		return "", err
	}
	l := &link{network: n, from: from, to: to, target: target, ln: ln, note: note}
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	go l.accept()
	return ln.Addr().String(), nil
}

// listenShort listens on a free port with a short queue: once it is full and nothing is accepted, a new connection does
// not come up, as the system drops the packets that ask for it.
func listenShort() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "link")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 8); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// cutOff cuts a zone off from the others.
func (n *network) cutOff(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.clear = zone, make(chan struct{})
	for _, l := range n.links {
		if l.crosses(zone) {
			go l.fillQueue(n.clear)
		}
	}
	n.r.logf("network: zone %s is cut off from the others", zone)
}

// heal ends the cut.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.r.logf("network: zone %s is back", n.cut)
	n.cut = ""
	close(n.clear)
}

func (l *link) crosses(zone string) bool { return zone != "" && (l.from == zone) != (l.to == zone) }

// silence returns a channel that closes at the end of the cut that silences the link; nil if it is not silent.
func (l *link) silence() <-chan struct{} {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.crosses(l.network.cut) {
		return l.network.clear
	}
	return nil
}

// awaitOpen waits until the link is not silent.
func (l *link) awaitOpen() {
	for {
		silent := l.silence()
		if silent == nil {
			return
		}
		<-silent
	}
}

// fillQueue fills the listener's queue until the cut ends.
func (l *link) fillQueue(clear <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", l.ln.Addr().String(), 100*time.Millisecond)
		if err == nil {
			l.fill = append(l.fill, conn)
		}
		select {
		case <-clear:
			for _, c := range l.fill {
				_ = c.Close()
			}
			l.fill = nil
			return
		default:
		}
		if err != nil {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (l *link) accept() {
	for {
		l.awaitOpen()
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.silence() != nil { // it came up in the moment of the cut: it is reset when the zone is back
			go func() {
				l.awaitOpen()
				reset(conn)
			}()
			continue
		}
		go l.carry(conn)
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// carry passes bytes in both directions. What is read during a cut is passed on at its end.
func (l *link) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			held := l.silence() != nil
			l.awaitOpen()
			if n > 0 {
				if held && l.note != nil {
					l.note(b[:n])
				}
				if _, werr := to.Write(b[:n]); werr != nil {
					break
				}
			}
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				break
			}
		}
		reset(to)
		reset(from)
	}
	both.Go(func() { pass(far, near) })
	both.Go(func() { pass(near, far) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}
