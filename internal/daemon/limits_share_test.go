package daemon

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// With few descriptors too, clients and league servers have at least a quarter of them each.
func TestShareSockets(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		for fronts := 1; fronts <= 2; fronts++ {
			clients, servers := shareSockets(sockets, fronts)
			if clients*fronts+servers+ownSockets > sockets || fronts == 1 && clients < sockets/4 || servers < sockets/4 {
				t.Errorf("%d descriptors, %d fronts: got %d for each front and %d for servers, want a quarter for each side within the limit",
					sockets, fronts, clients, servers)
			}
		}
	}
}

// A successor takes over the listening socket that the platform owns. The predecessor stops accepting at once, answers
// all requests of connections that it has accepted, and leaves the socket open.
func TestHandoverOfListeningSocket(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	fd := func() int { // as the platform passes it to each process
		f, err := socket.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		n, err := syscall.Dup(int(f.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	dir := t.TempDir()
	sameSocket := func(c *Config) { t.Setenv("TMPDIR", dir); c.listenFD = fd() }
	predecessor := newTestbed(t, 3, sameSocket)
	conn := connect(t, socket.Addr().String())
	if status, _ := predecessor.query(conn, "whole", 15*time.Second, 0); status != 200 {
		t.Fatalf("query to the predecessor: status = %d, want 200", status)
	}
	predecessor.servers["s-0a"].setMode("wait")
	predecessor.servers["s-0b"].setMode("wait")
	answered := make(chan int)
	go func() { status, _ := predecessor.query(conn, "whole", 15*time.Second, 0); answered <- status }()
	for n := 0; n < 2; _, n = predecessor.partsSince(0) {
		time.Sleep(time.Millisecond)
	}
	successor := newTestbed(t, 3, sameSocket)
	for !successor.p.readiness.Ready() {
		time.Sleep(time.Millisecond)
	}
	if n := successor.p.counters.Get("health_checks_success"); n < 6 {
		t.Errorf("the successor is ready after the health checks of %d servers, want 6", n)
	}
	limits := func(p *Program) (processes, clients, maxOpen int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.share.Processes, p.fronts.maxConns, p.share.MaxOpen
	}
	for _, p := range []*Program{predecessor.p, successor.p} { // each has half of the limits
		n, clients, maxOpen := limits(p)
		if wantClients, _ := shareSockets(p.cfg.sockets/2, 2); n != 2 || clients != wantClients || maxOpen != p.cfg.routingSettings.MaxOpen/2 {
			t.Errorf("shares by %d processes: %d connections a front, %d open queries; want half of the limits", n, clients, maxOpen)
		}
	}
	if successor.p.cfg.seed == predecessor.p.cfg.seed {
		t.Error("predecessor and successor have the same seed, want two")
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); predecessor.stop() }()
	for !errors.Is(predecessor.p.fronts.listeners[0].(*net.TCPListener).SetDeadline(time.Time{}), net.ErrClosed) {
		time.Sleep(time.Millisecond)
	}
	next := connect(t, socket.Addr().String())
	if status, _ := successor.query(next, "whole", 15*time.Second, 0); status != 200 {
		t.Errorf("query to the successor while the predecessor stops: status = %d, want 200", status)
	}
	predecessor.servers["s-0a"].setMode("go")
	predecessor.servers["s-0b"].setMode("go")
	if status := <-answered; status != 200 {
		t.Errorf("query in flight at the predecessor: status = %d, want 200", status)
	}
	<-stopped
	// Alone, the successor has all of the limits.
	for n, open := 0, 0; n != 1 || open != successor.p.cfg.routingSettings.MaxOpen; n, _, open = limits(successor.p) {
		time.Sleep(time.Millisecond)
	}
	if status, _ := successor.query(connect(t, socket.Addr().String()), "whole", 15*time.Second, 1); status != 200 {
		t.Errorf("query after the predecessor has ended: status = %d, want 200", status)
	}
	for successor.search == nil { // the search front starts once the predecessor has ended
		successor.p.mu.Lock()
		if len(successor.p.fronts.listeners) > 1 {
			successor.search = connect(t, successor.p.fronts.listeners[1].Addr().String())
		}
		successor.p.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	if status, got := successor.searchIndex("players", ""); status != 200 || got.Shards.Successful != 3 {
		t.Errorf("search after the predecessor has ended: status = %d, response %+v; want 200 with 3 shards", status, got)
	}
	predecessor.checkInvariants()
	successor.checkInvariants()
}
