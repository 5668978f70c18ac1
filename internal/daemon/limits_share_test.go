package daemon

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// However few descriptors there are, clients and league servers have theirs apart.
func TestShareSockets(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		for fronts := 1; fronts <= 2; fronts++ {
			clients, servers := shareSockets(sockets, fronts)
			if clients*fronts+servers+ownSockets > sockets || fronts == 1 && clients < sockets/4 || servers < sockets/4 {
				t.Errorf("%d descriptors, %d fronts: %d for clients, %d for servers", sockets, fronts, clients, servers)
			}
		}
	}
}

// A new version takes the listening socket that the platform holds. The old one stops
// accepting at once, answers all that it accepted, and leaves the socket as it was.
func TestHandoverOfListeningSocket(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	fd := func() int { // as the platform hands it to each process
		f, err := held.(*net.TCPListener).File()
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
	here := func(c *Config) { t.Setenv("TMPDIR", dir); c.listenFD = fd() }
	old := newBench(t, 3, here)
	kept := connect(t, held.Addr().String())
	if status, _ := old.query(kept, "whole", 15*time.Second, 0); status != 200 {
		t.Fatal(status)
	}
	old.servers["s-0a"].set("wait")
	old.servers["s-0b"].set("wait")
	answered := make(chan int)
	go func() { status, _ := old.query(kept, "whole", 15*time.Second, 0); answered <- status }()
	for n := 0; n < 2; _, n = old.since(0) {
		time.Sleep(time.Millisecond)
	}
	young := newBench(t, 3, here)
	for !young.p.readiness.Ready() {
		time.Sleep(time.Millisecond)
	}
	if n := young.p.counters.Get("probes_served"); n < 6 {
		t.Errorf("says yes having heard of %d servers", n)
	}
	limits := func(p *Program) (processes, clients, room int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.share.Processes, p.fronts.maxConns, p.share.MaxOpen
	}
	for _, p := range []*Program{old.p, young.p} { // each keeps to its half
		n, clients, room := limits(p)
		if most, _ := shareSockets(p.cfg.sockets/2, 2); n != 2 || clients != most || room != p.cfg.module.MaxOpen/2 {
			t.Errorf("%d processes, %d clients, room for %d", n, clients, room)
		}
	}
	if young.p.cfg.seed == old.p.cfg.seed {
		t.Error("two processes of one seed")
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); old.stop() }()
	for !errors.Is(old.p.fronts.listeners[0].(*net.TCPListener).SetDeadline(time.Time{}), net.ErrClosed) {
		time.Sleep(time.Millisecond)
	}
	next := connect(t, held.Addr().String())
	if status, _ := young.query(next, "whole", 15*time.Second, 0); status != 200 {
		t.Error(status)
	}
	old.servers["s-0a"].set("go")
	old.servers["s-0b"].set("go")
	if status := <-answered; status != 200 {
		t.Errorf("what the old process had taken ended with %d", status)
	}
	<-stopped
	for n, open := 0, 0; n != 1 || open != young.p.cfg.module.MaxOpen; n, _, open = limits(young.p) { // alone: all of it
		time.Sleep(time.Millisecond)
	}
	if status, _ := young.query(connect(t, held.Addr().String()), "whole", 15*time.Second, 1); status != 200 {
		t.Error(status)
	}
	for young.search == nil { // the search front comes up once the old process has gone
		young.p.mu.Lock()
		if len(young.p.fronts.listeners) > 1 {
			young.search = connect(t, young.p.fronts.listeners[1].Addr().String())
		}
		young.p.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	if status, got := young.find("players", ""); status != 200 || got.Shards.Successful != 3 {
		t.Errorf("%d %+v", status, got)
	}
	old.rules()
	young.rules()
}
