package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"linkpass/internal/discovery"
	"linkpass/internal/http1"
)

// receivedPart is one part that reached a league server.
type receivedPart struct {
	server, name, text, protocol string
	shard                        int
	wait                         time.Duration
}

// fleet is a set of emulated league servers and the discovery that lists them.
type fleet struct {
	t       *testing.T
	servers map[string]*leagueServer

	mu          sync.Mutex // guards parts, version and changes
	parts       []receivedPart
	version     int64
	changes     []discovery.EndpointList // changes[v-1] leads to version v
	watchedFrom chan int64               // receives the versions that the watch continues from
	changed     chan struct{}            // receives a value for each change
	addr        string                   // of discovery
}

// listenLocal serves connections at a free port until the test ends, and waits for all of them.
func listenLocal(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, nc)
			mu.Unlock()
			wg.Go(func() { defer nc.Close(); serve(nc) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, nc := range conns {
			nc.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return ln.Addr().String()
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, servers: map[string]*leagueServer{}, watchedFrom: make(chan int64, 64), changed: make(chan struct{}, 64)}
	f.addr = listenLocal(t, f.serveDiscovery)
	return f
}

func (f *fleet) addServer(name string, cell int) *leagueServer {
	s := &leagueServer{fleet: f, name: name, cell: cell}
	s.addr = listenLocal(f.t, s.serve)
	f.servers[name] = s
	return s
}

// updateList changes the list and returns once the coordinator's watch continues from the change. A request that is
// sent to the coordinator after that is routed by the new list.
func (f *fleet) updateList(lines ...discovery.Endpoint) {
	f.mu.Lock()
	f.version++
	version := f.version
	f.changes = append(f.changes, discovery.EndpointList{Version: version, Endpoints: lines})
	f.mu.Unlock()
	f.changed <- struct{}{}
	for <-f.watchedFrom != version {
	}
}

// serveDiscovery answers the watch calls of one connection.
func (f *fleet) serveDiscovery(nc net.Conn) {
	r := http1.NewReader(nc, 0)
	for {
		req, err := r.Request()
		if err != nil {
			return
		}
		var after, wait int64
		if _, err := fmt.Sscanf(req.Query, "after=%d&wait_ms=%d", &after, &wait); err != nil {
			if f.t.Context().Err() != nil { // the test has ended, and the watch with it
				return
			}
			f.t.Errorf("watch with query %q, want after=N&wait_ms=N", req.Query)
			return
		}
		f.watchedFrom <- after
		d := discovery.EndpointList{Version: after}
		select {
		case <-f.changed:
			f.mu.Lock()
			d = f.changes[after]
			f.mu.Unlock()
		case <-time.After(time.Duration(wait) * time.Millisecond): // no change; the watch is renewed
		case <-f.t.Context().Done(): // the test has ended
			return
		}
		body, err := json.Marshal(d)
		if err != nil || http1.WriteResponse(nc, &http1.Response{Status: 200, Body: body}) != nil {
			return
		}
	}
}

// partsSince returns the parts received after the first n, and how many there are now.
func (f *fleet) partsSince(n int) ([]receivedPart, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedPart(nil), f.parts[n:]...), len(f.parts)
}
