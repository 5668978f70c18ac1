package daemon

import (
	"context"
	"net"
	"sync"

	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
)

// clientFronts are the servers of clients' requests. They admit clients, and stop admitting them, all at the same time.
type clientFronts struct {
	*process
	core *queryCore

	// Guarded by process.mu. Shutdown reads servers and listeners without it: no front starts any more then.
	servers   []*http1.Server
	listeners []net.Listener // of the servers, in their order
	maxConns  int            // that each server may hold

	admit     chan struct{}  // closed by Serve once clients are to be admitted
	leaving   chan struct{}  // closed by shutdown once no more are
	accepting sync.WaitGroup // counts the servers that accept, or will
}

func newClientFronts(p *process, core *queryCore) *clientFronts {
	return &clientFronts{process: p, core: core, admit: make(chan struct{}), leaving: make(chan struct{})}
}

// planned is the number of fronts by the configuration.
func (f *clientFronts) planned() int {
	if f.cfg.Search.Listen != "" {
		return 2
	}
	return 1
}

// add sets up one front on a listener. The caller holds mu.
func (f *clientFronts) add(name string, ln net.Listener, h http1.Handler) *boundServer {
	server := &http1.Server{Name: name, Handler: h, Clock: f.core.core, Counters: f.counters, MaxConns: f.maxConns}
	f.listeners, f.servers = append(f.listeners, ln), append(f.servers, server)
	f.readiness.AddFront(server)
	f.accepting.Add(1) // before it runs: shutdown waits for it
	return &boundServer{server, ln}
}

// limit sets how many connections each front may hold. The caller holds mu.
func (f *clientFronts) limit(maxConns int) {
	f.maxConns = maxConns
	for _, server := range f.servers {
		server.SetMaxConns(maxConns)
	}
}

// serve serves a front's clients from when they are admitted until they no longer are.
func (f *clientFronts) serve(ctx context.Context, front *boundServer) {
	defer f.accepting.Done()
	select {
	case <-f.admit:
	case <-f.leaving:
		return
	case <-ctx.Done():
		return
	}
	front.run(ctx)
}

// stop lets the connections end once they have their answers.
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

// addrs are the addresses that the fronts listen on.
func (f *clientFronts) addrs() (out []net.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ln := range f.listeners {
		out = append(out, ln.Addr())
	}
	return out
}

// handler is the handler of the front of that name; nil: there is none.
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

// frontComponent completes the component of a front. start returns nil for a front that is off.
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
