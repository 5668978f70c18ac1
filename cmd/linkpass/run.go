package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"linkpass/internal/catalog"
	"linkpass/internal/coordinator"
	"linkpass/internal/counters"
	"linkpass/internal/discovery"
	"linkpass/internal/frame"
	"linkpass/internal/http1"
	"linkpass/internal/link"
	"linkpass/internal/opensearch"
	"linkpass/internal/peer"
	"linkpass/internal/platform"
	"linkpass/internal/store"
)

const (
	grace = 450 * time.Millisecond // after SIGTERM new connections still come

	memoryShare    = 0.6 // of the limit is the collector's; the rest is for what it does not see
	defaultSockets = 1024
	ownSockets     = 24 // descriptors for the program itself: its streams, listeners, discovery, the store
	mailboxSize    = 1024
)

// program is what runs: the core, what it stands on, and its fronts.
type program struct {
	cfg     config
	count   *counters.Set
	core    *coordinator.Core
	links   *link.Set
	watcher *discovery.Watcher
	store   *store.Store // nil: off
	fronts  []*http1.Server
	lns     []net.Listener
	current func() *catalog.Catalog
	clients int          // connections that each front may hold
	dials   *peer.Places // connections that all league servers may take
}

// reload takes a new configuration while the program runs: the address of
// discovery and the limit on memory. All else holds from the next start on. One
// that can't be used changes nothing: a coordinator must not end over it.
func (p *program) reload(env func(string) string) {
	cfg, err := load(env)
	if err != nil {
		p.count.Add("config_bad", 1)
		log.Printf("event=config_kept err=%q", err)
		return
	}
	p.count.Add("config_reloaded", 1)
	log.Printf("event=config_reloaded discovery=%s", cfg.fileDiscovery)
	limitMemory(cfg.memoryMB)
	// The environment stays as it was at the start, so only the file can bring news.
	if cfg.fileDiscovery != "" && cfg.fileDiscovery != p.cfg.fileDiscovery {
		p.watcher.Move(cfg.fileDiscovery)
	}
	p.cfg.fileDiscovery = cfg.fileDiscovery
}

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
	}
}

// serve serves until the context ends, then finishes what was taken.
func (p *program) serve(term context.Context, news <-chan os.Signal) (err error) {
	cfg := p.cfg
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	coreDone := make(chan struct{})
	go func() {
		defer close(coreDone)
		p.core.Run(ctx)
	}()
	all.Go(func() { p.watcher.Run(ctx, cfg.known) })
	for i, front := range p.fronts {
		all.Go(func() {
			if err := front.Serve(p.lns[i]); err != nil {
				log.Printf("event=front_failed front=%s err=%q", front.Name, err)
			}
		})
		log.Printf("event=listening front=%s addr=%s", front.Name, p.lns[i].Addr())
	}
	log.Printf("event=started name=%s discovery=%s servers=%d", cfg.name, cfg.discovery, len(cfg.known.Servers))

	for serving := true; serving; {
		select {
		case sig := <-news:
			if sig == syscall.SIGHUP {
				p.reload(os.Getenv)
			} else {
				p.count.Print("signal")
			}
		case <-term.Done():
			serving = false
		}
	}
	p.stop()
	cancel()
	<-coreDone
	p.links.Close()
	all.Wait()
	if p.store != nil {
		err = p.store.Close()
	}
	p.count.Print("exit")
	log.Printf("event=stopped")
	return err
}

// start sets everything up and takes the addresses to listen on.
func start(cfg config) (p *program, err error) {
	limitMemory(cfg.memoryMB)
	if cfg.cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.cores)))
	}
	if cfg.sockets <= 0 {
		cfg.sockets = defaultSockets
	}
	p = &program{cfg: cfg, count: counters.New(), current: func() *catalog.Catalog { return &cfg.search.Catalog }}
	p.core, err = coordinator.New(coordinator.Config{Settings: cfg.module, Seed: cfg.seed,
		ProbeTimeout: cfg.host.ConnectTimeout, Counters: p.count, Mailbox: mailboxSize})
	if err != nil {
		return nil, err
	}
	fronts := 1
	if cfg.search.Listen != "" {
		fronts++
	}
	var servers int
	p.clients, servers = shareSockets(cfg.sockets, fronts)
	p.dials = peer.NewPlaces(servers)
	defer func() {
		if err != nil {
			for _, ln := range p.lns {
				_ = ln.Close()
			}
		}
	}()
	thin := &platform.Front{Core: p.core, Classes: cfg.host.Classes, Shards: cfg.module.Shards, Counters: p.count}
	server, err := p.listen("platform", cfg.listen, thin)
	if err != nil {
		return nil, err
	}
	thin.Ready = func() bool { return !server.Draining() }
	if cfg.search.Listen != "" {
		if err := p.search(); err != nil {
			return nil, err
		}
	}
	p.watcher = discovery.NewWatcher(cfg.discovery, &discovery.Reader{Zones: cfg.host.Zones, Kinds: cfg.host.Kinds,
		Cells: cfg.module.Cells, Clock: p.core.Clock}, p.core, p.count)
	p.links = link.NewSet(p.protocols())
	p.core.Bind(p.links)
	return p, nil
}

// shareSockets divides the descriptors: half of what the program does not need for
// itself is for clients, the fronts alike, and half for the league servers, so that
// neither can starve the other. Clients with a request open need a third at most.
func shareSockets(sockets, fronts int) (clients, servers int) {
	rest := max(2, sockets-ownSockets)
	return max(1, rest/2/fronts), rest - rest/2
}

// listen sets up one front on an address.
func (p *program) listen(name, addr string, h http1.Handler) (*http1.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("front %s: %w", name, err)
	}
	server := &http1.Server{Name: name, Handler: h, Clock: p.core, Counters: p.count,
		MaxConns: p.clients}
	p.lns, p.fronts = append(p.lns, ln), append(p.fronts, server)
	return server, nil
}

// search sets up the search front, and the store where there is one.
func (p *program) search() (err error) {
	initial := &p.cfg.search.Catalog
	answers := opensearch.FixedSettings(initial)
	if p.cfg.search.Store.ID != "" {
		c := p.cfg.search.Store
		c.Initial = initial
		if p.store, err = store.Open(c); err != nil {
			return err
		}
		p.current, answers = p.store.Current, opensearch.StoreSettings(p.store)
	}
	front := &opensearch.Front{Core: p.core, Shards: p.cfg.module.Shards, Counters: p.count, Catalog: p.current,
		Settings: answers, Prefix: strconv.FormatUint(p.cfg.seed, 16)}
	for i, name := range p.cfg.host.Classes {
		front.Classes = append(front.Classes, opensearch.Class{Name: name, Deadline: p.cfg.module.Classes[i].Deadline})
	}
	if _, err = p.listen("search", p.cfg.search.Listen, front); err != nil && p.store != nil {
		_ = p.store.Close()
	}
	return err
}

// protocols tells how league servers are spoken to.
func (p *program) protocols() link.Protocols {
	common := peer.Config{Sink: p.core, Counters: p.count, Places: p.dials,
		ConnectTimeout: p.cfg.host.ConnectTimeout, Keepalive: p.cfg.host.Keepalive}
	maker := func(d peer.Dialect) link.Make {
		return func(name, addr string) link.Carrier { return peer.New(common, d, name, addr) }
	}
	return link.Protocols{
		Makers: map[string]link.Make{
			catalog.Plain:  maker(frame.Dialect{MaxStreams: p.cfg.host.MaxStreams, ReportNames: p.cfg.host.ReportNames}),
			catalog.Search: maker(opensearch.Dialect{ReportNames: p.cfg.host.ReportNames}),
		},
		Of: func(server string) string { return p.current().Protocol(server) },
	}
}

// stop goes on accepting for the grace, then finishes what was taken.
func (p *program) stop() {
	log.Printf("event=stopping grace_ms=%d", grace.Milliseconds())
	for _, front := range p.fronts {
		front.Drain()
	}
	time.Sleep(grace)
	for _, ln := range p.lns {
		_ = ln.Close()
	}
	for _, front := range p.fronts {
		front.Stop()
	}
}
