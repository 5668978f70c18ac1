package daemon

import (
	"context"
	"net"
	"sync"

	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
)

// clientFronts holds the fronts: the HTTP servers that clients send their requests to. All of them start to admit
// clients at the same time, and stop at the same time.
type clientFronts struct {
	*process
	core *queryCore

	// Guarded by process.mu. Shutdown reads servers and listeners without it, because no front starts any more then.
	servers   []*http1.Server
	listeners []net.Listener // listeners[i] belongs to servers[i]
	maxConns  int            // limit on the connections of each server

	admit         chan struct{}  // closed by Serve once clients are to be admitted
	stopAdmitting chan struct{}  // closed by shutdown once no more clients are to be admitted
	accepting     sync.WaitGroup // counts the servers that accept connections or are about to
}

func newClientFronts(p *process, core *queryCore) *clientFronts {
	return &clientFronts{process: p, core: core, admit: make(chan struct{}), stopAdmitting: make(chan struct{})}
}

// configuredCount returns the number of fronts that the configuration asks for.
func (f *clientFronts) configuredCount() int {
	if f.cfg.Search.Listen != "" {
		return 2
	}
	return 1
}

// add sets up a front on a listener; the caller has yet to serve it. headerFields are those that the handler reads. The
// caller holds mu.
func (f *clientFronts) add(name string, ln net.Listener, h http1.Handler, headerFields []string) *boundServer {
	server := f.newServer(name, f.core, h, headerFields)
	server.MaxConns = f.maxConns
	f.listeners, f.servers = append(f.listeners, ln), append(f.servers, server)
	f.readiness.AddFront(server)
	f.accepting.Add(1) // before the front runs, so that shutdown waits for it
	return &boundServer{server, ln}
}

// setMaxConns sets the limit on the connections of each front. The caller holds mu.
func (f *clientFronts) setMaxConns(maxConns int) {
	f.maxConns = maxConns
	for _, server := range f.servers {
		server.SetMaxConns(maxConns)
	}
}

// serve waits until clients are admitted, and then serves the front until its listener is closed or the context ends.
// It returns without serving if shutdown or the end of the context comes first.
func (f *clientFronts) serve(ctx context.Context, front *boundServer) {
	defer f.accepting.Done()
	select {
	case <-f.admit:
	case <-f.stopAdmitting:
		return
	case <-ctx.Done():
		return
	}
	front.run(ctx)
}

// stop lets each connection end once its requests are answered.
func (f *clientFronts) stop() {
	for _, server := range f.servers {
		server.Stop()
	}
}

// close closes all connections at once.
func (f *clientFronts) close() {
	for _, server := range f.servers {
		server.Close()
	}
}

// addrs returns the addresses that the fronts listen on.
func (f *clientFronts) addrs() (out []net.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ln := range f.listeners {
		out = append(out, ln.Addr())
	}
	return out
}

// handler returns the handler of the front of that name, or nil if there is none.
func (f *clientFronts) handler(name string) http1.Handler {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		if server.Name == name {
			return server.Handler
		}
	}
	return nil
}

// frontComponent sets the Start, Run and Stop functions of a front's component. start returns nil for a front that is
// off.
func (f *clientFronts) frontComponent(c lifecycle.Component, start func() (*boundServer, error)) lifecycle.Component {
	var front *boundServer
	c.Start = func() (err error) {
		front, err = start()
		return err
	}
	c.Run = func(ctx context.Context) {
		if front != nil {
			f.serve(ctx, front)
		}
	}
	c.Stop = func() error { return front.close() }
	return c
}
