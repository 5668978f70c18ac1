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

// seen is one part that reached a league server.
type seen struct {
	server, name, text, protocol string
	shard                        int
	wait                         time.Duration
}

// fleet is a set of stand-in league servers and the discovery that lists them.
type fleet struct {
	t       *testing.T
	servers map[string]*leagueServer

	mu      sync.Mutex
	parts   []seen
	version int64
	changes []discovery.Document // by version, from 1
	told    chan int64           // versions that the watch continues from
	news    chan struct{}
	addr    string
}

func listenLocal(t *testing.T, serve func(net.Conn)) string {
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
	f := &fleet{t: t, servers: map[string]*leagueServer{}, told: make(chan int64, 64), news: make(chan struct{}, 64)}
	f.addr = listenLocal(t, f.discover)
	return f
}

func (f *fleet) add(name string, cell int) *leagueServer {
	s := &leagueServer{fleet: f, name: name, cell: cell}
	s.addr = listenLocal(f.t, s.serve)
	f.servers[name] = s
	return s
}

// tell changes the list and returns once the coordinator's watch goes on from it:
// whatever is asked of the coordinator after that comes behind the change.
func (f *fleet) tell(lines ...discovery.Server) {
	f.mu.Lock()
	f.version++
	version := f.version
	f.changes = append(f.changes, discovery.Document{Version: version, Servers: lines})
	f.mu.Unlock()
	f.news <- struct{}{}
	for <-f.told != version {
	}
}

// discover answers watches of one connection.
func (f *fleet) discover(nc net.Conn) {
	r := http1.NewReader(nc, 0)
	for {
		req, err := r.Request()
		if err != nil {
			return
		}
		var after, wait int64
		if _, err := fmt.Sscanf(req.Query, "after=%d&wait_ms=%d", &after, &wait); err != nil {
			if f.t.Context().Err() != nil { // the watch broke with the end of the test
				return
			}
			f.t.Errorf("watch asks %q", req.Query)
			return
		}
		f.told <- after
		d := discovery.Document{Version: after}
		select {
		case <-f.news:
			f.mu.Lock()
			d = f.changes[after]
			f.mu.Unlock()
		case <-time.After(time.Duration(wait) * time.Millisecond): // nothing new: the watch is renewed
		case <-f.t.Context().Done(): // the test is over
			return
		}
		body, err := json.Marshal(d)
		if err != nil || http1.WriteResponse(nc, &http1.Response{Status: 200, Body: body}) != nil {
			return
		}
	}
}

// since is the parts that came after the first n, and how many there are now.
func (f *fleet) since(n int) ([]seen, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.parts[n:]...), len(f.parts)
}
