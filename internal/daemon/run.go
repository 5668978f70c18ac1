// Package daemon puts the program together: the core, what it stands on, its fronts, and
// the way from its start to its end.
package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"linkpass/internal/bodies"
	"linkpass/internal/bodies/tier"
	"linkpass/internal/catalog"
	"linkpass/internal/coordinator"
	"linkpass/internal/counters"
	"linkpass/internal/discovery"
	"linkpass/internal/event"
	"linkpass/internal/frame"
	"linkpass/internal/handover"
	"linkpass/internal/http1"
	"linkpass/internal/layout/steward"
	"linkpass/internal/link"
	"linkpass/internal/opensearch"
	"linkpass/internal/operator"
	"linkpass/internal/peer"
	"linkpass/internal/platform"
	"linkpass/internal/store"
)

const (
	grace      = 450 * time.Millisecond // after SIGTERM new connections still come
	lastCalls  = 600 * time.Millisecond // after SIGTERM connections that ask nothing are kept
	killAfter  = 3 * time.Second
	killMargin = 350 * time.Millisecond // of the 700 past that: for the last answers
	lastWords  = 150 * time.Millisecond // for those answers to be written

	memoryShare    = 0.6 // of the limit is the collector's; the rest is for what it does not see
	defaultSockets = 1024
	ownSockets     = 24 + operator.MaxCallers // descriptors for the program itself: its streams, listeners, discovery, the store, the door
	mailboxSize    = 1024
)

// Program is what runs: the core, what it stands on, and its fronts.
type Program struct {
	cfg        Config
	count      *counters.Set
	figures    *counters.Figures
	core       *coordinator.Core
	links      *link.Set
	watcher    *discovery.Watcher
	store      *store.Store // nil: off
	opened     atomic.Pointer[store.Store]
	layouts    *layouts
	steward    *steward.Steward // of the layouts; nil: no store
	bodies     *bodies.Store
	roster     roster
	began      time.Time
	control    *http1.Server // the operators' API; nil: none
	controlLn  net.Listener
	bodyLimits tier.Limits // of all processes together
	gate       operator.Gate
	fronts     []*http1.Server
	lns        []net.Listener // of the fronts, in their order
	door       *http1.Server  // nil: none
	doorLn     net.Listener
	dials      *peer.Places // connections that all league servers may take
	current    atomic.Pointer[func() *catalog.Catalog]

	post  *handover.Post
	alone chan struct{} // told when no other process of this coordinator runs any more

	mu      sync.Mutex // guards what follows: the share of the limits
	share   handover.Share
	clients int // connections that each front may hold
}

// reload takes a new configuration while the program runs: the address of
// discovery and the limit on memory. All else holds from the next start on. One
// that can't be used changes nothing: a coordinator must not end over it.
func (p *Program) reload(env func(string) string) {
	cfg, err := Load(env)
	if err != nil {
		p.count.Add("config_bad", 1)
		event.ConfigKept.Log(err)
		return
	}
	p.count.Add("config_reloaded", 1)
	event.ConfigReloaded.Log(cfg.fileDiscovery)
	p.mu.Lock()
	p.cfg.memoryMB = cfg.memoryMB
	p.limitMemory()
	p.mu.Unlock()
	// The environment stays as it was at the start, so only the file can bring news.
	if cfg.fileDiscovery != "" && cfg.fileDiscovery != p.cfg.fileDiscovery {
		p.watcher.Move(cfg.fileDiscovery)
	}
	p.cfg.fileDiscovery = cfg.fileDiscovery
}

// limitMemory sets the collector's limit to this process's share.
func (p *Program) limitMemory() {
	if p.cfg.memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.cfg.memoryMB) * (1 << 20) / float64(p.share.Processes)))
	}
}

// keepTo keeps this process to its share of the limits.
func (p *Program) keepTo(s handover.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.share.Processes != s.Processes {
		event.Share.Log(s.Processes, s.Open)
	}
	p.share = s
	p.limitMemory()
	var servers int
	p.clients, servers = shareSockets(p.cfg.sockets/s.Processes, p.planned())
	for _, front := range p.fronts {
		front.Limit(p.clients)
	}
	p.dials.Limit(servers)
	if p.core != nil {
		p.core.Room(s.Open)
	}
	if p.bodies != nil {
		p.bodies.Limit(p.bodyLimits.Memory/int64(s.Processes), p.bodyLimits.Files/int64(s.Processes))
	}
	if s.Processes == 1 {
		select {
		case p.alone <- struct{}{}:
		default:
		}
	}
}

// young tells whether another process of this coordinator ran already when this one started.
func (p *Program) young() bool { return p.share.Processes > 1 }

// planned is the number of fronts.
func (p *Program) planned() int {
	if p.cfg.Search.Listen != "" {
		return 2
	}
	return 1
}

// Serve serves until the context ends, then finishes what was taken.
func (p *Program) Serve(term context.Context, news <-chan os.Signal) (err error) {
	cfg := p.cfg
	ctx, cancel := context.WithCancel(context.Background())
	var all, accepting sync.WaitGroup
	coreDone := make(chan struct{})
	go func() {
		defer close(coreDone)
		p.core.Run(ctx)
	}()
	all.Go(func() { p.watcher.Run(ctx, cfg.known) })
	if p.steward != nil {
		all.Go(func() { p.steward.Run(ctx) })
	}
	open := func(i int) { accepting.Go(func() { accept(p.fronts[i], p.lns[i]) }) }
	p.mu.Lock()
	young := p.young()
	p.mu.Unlock()
	for i := range p.fronts {
		if !young {
			open(i)
		}
	}
	if p.door != nil {
		all.Go(func() { accept(p.door, p.doorLn) })
	}
	if p.control != nil {
		all.Go(func() { accept(p.control, p.controlLn) })
	}
	event.Started.Log(cfg.name, cfg.discovery, len(cfg.known.Servers))

	usable, warm := p.watcher.Usable(), make(chan struct{})
	for serving := true; serving; {
		select {
		case <-usable:
			usable = nil
			if !young {
				p.gate.Open()
				break
			}
			// The other process serves meanwhile: this one joins it when it knows its servers.
			p.core.Warm(func() { close(warm) })
		case <-warm:
			warm = nil
			open(0)
			p.gate.Open()
		case <-p.alone:
			p.mu.Lock()
			n := len(p.fronts)
			err := p.search()
			p.mu.Unlock()
			if err != nil {
				event.SearchFailed.Log(err)
			} else if len(p.fronts) > n {
				open(n)
			}
			p.takeControl(all.Go)
		case sig := <-news:
			if sig == syscall.SIGHUP {
				p.reload(os.Getenv)
			} else {
				p.count.Print("signal")
				p.printBodies()
			}
		case <-term.Done():
			serving = false
		}
	}
	stopping := make(chan struct{})
	go func() {
		defer close(stopping)
		p.stop(&accepting)
	}()
	select {
	case <-stopping:
	case <-time.After(p.patience()):
		// The platform is about to kill: what is still open is failed while that can be told.
	}
	cancel()
	<-coreDone
	select {
	case <-stopping:
	case <-time.After(lastWords): // no deadline is swept any more: who does not read now never will
		for _, front := range p.fronts {
			front.Close()
		}
		<-stopping
	}
	p.links.Close()
	if p.store != nil {
		err = p.store.Close()
	}
	if p.door != nil {
		_ = p.doorLn.Close()
	}
	if p.control != nil {
		_ = p.controlLn.Close()
	}
	all.Wait()
	if p.control != nil {
		p.control.Close()
	}
	if p.door != nil {
		p.door.Close()
	}
	p.post.Close()
	p.printBodies()
	if p.bodies != nil {
		p.bodies.Close()
	}
	p.count.Print("exit")
	event.Stopped.Log()
	return err
}

func accept(s *http1.Server, ln net.Listener) {
	event.Listening.Log(s.Name, ln.Addr())
	if err := s.Serve(ln); err != nil {
		event.FrontFailed.Log(s.Name, err)
	}
}

// Start sets everything up and takes the addresses to listen on.
func Start(cfg Config) (p *Program, err error) {
	if cfg.cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.cores)))
	}
	if cfg.sockets <= 0 {
		cfg.sockets = defaultSockets
	}
	p = &Program{cfg: cfg, began: time.Now(), count: counters.New(), figures: counters.NewFigures(cfg.host.Classes),
		dials: peer.NewPlaces(0), alone: make(chan struct{}, 1)}
	p.follow(func() *catalog.Catalog { return &cfg.Search.Catalog })
	if p.post, err = handover.Join(os.TempDir(), cfg.name, cfg.module.MaxOpen, p.keepTo); err != nil {
		event.HandoverFailed.Log(err) // one that runs alone does without
		p.keepTo(handover.Share{Processes: 1, Open: cfg.module.MaxOpen})
	}
	made := p // a return of nil must not take from the clean-up what it cleans up
	defer func() {
		if err != nil {
			for _, ln := range append(made.lns, made.doorLn, made.controlLn) {
				if ln != nil {
					_ = ln.Close()
				}
			}
			if made.store != nil {
				_ = made.store.Close()
			}
			if made.bodies != nil {
				made.bodies.Close()
			}
			made.post.Close()
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.young() {
		cfg.seed ^= uint64(os.Getpid()) * 0x9e3779b97f4a7c15 // chance and names apart from the other's
		p.cfg.seed = cfg.seed
	}
	cfg.module.MaxOpen = p.share.Open
	p.core, err = coordinator.New(coordinator.Config{Settings: cfg.module, Seed: cfg.seed,
		ProbeTimeout: cfg.host.ConnectTimeout, Counters: p.count, Figures: p.figures, Mailbox: mailboxSize,
		KeepPlans: cfg.Search.Reshape.Replan != nil && !*cfg.Search.Reshape.Replan})
	if err != nil {
		return nil, err
	}
	if err := p.openBodies(); err != nil {
		return nil, err
	}
	thin := &platform.Front{Core: p.core, Classes: cfg.host.Classes, Shards: cfg.module.Shards, Counters: p.count}
	thin.Ready, thin.Bodies, thin.Retry = p.gate.Ready, p.bodies, p.retry()
	for _, class := range cfg.module.Classes {
		thin.Worth = append(thin.Worth, class.Worth)
	}
	ln, err := clientListener(cfg)
	if err != nil {
		return nil, err
	}
	p.add("platform", ln, thin)
	if cfg.operator != "" {
		if p.doorLn, err = net.Listen("tcp", cfg.operator); err != nil {
			return nil, fmt.Errorf("operators' door: %w", err)
		}
		door := &operator.Door{Gate: &p.gate, Figures: p.figures}
		p.door = &http1.Server{Name: "operator", Handler: door, Clock: p.core, Counters: p.count, MaxConns: operator.MaxCallers}
	}
	p.layouts = &layouts{core: p.core}
	list := listTee{p.core, []listener{&p.roster}}
	if cfg.Search.Listen != "" && cfg.Search.Store.ID != "" {
		if err := p.newSteward(); err != nil {
			return nil, err
		}
		list.others = append(list.others, p.steward)
	}
	if !p.young() {
		if err := p.search(); err != nil {
			return nil, err
		}
		if err := p.openControl(); err != nil {
			return nil, err
		}
	}
	p.watcher = discovery.NewWatcher(cfg.discovery, &discovery.Reader{Zones: cfg.host.Zones, Kinds: cfg.host.Kinds,
		Cells: cfg.module.Cells, Clock: p.core.Clock}, list, p.count)
	p.watcher.Seed = cfg.seed
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

// clientListener is where clients come in: the platform's socket, if it holds one that
// outlives this process, or a socket of our own. The platform's is only ever closed
// here, never shut: others accept on it too.
func clientListener(cfg Config) (net.Listener, error) {
	if cfg.listenFD == 0 {
		ln, err := net.Listen("tcp", cfg.listen)
		if err != nil {
			return nil, fmt.Errorf("front platform: %w", err)
		}
		return ln, nil
	}
	f := os.NewFile(uintptr(cfg.listenFD), "ROUTER_LISTEN_FD")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("front platform: ROUTER_LISTEN_FD %d: %w", cfg.listenFD, err)
	}
	return ln, nil
}

// add sets up one front on a listener.
func (p *Program) add(name string, ln net.Listener, h http1.Handler) {
	server := &http1.Server{Name: name, Handler: h, Clock: p.core, Counters: p.count, MaxConns: p.clients}
	p.lns, p.fronts = append(p.lns, ln), append(p.fronts, server)
	p.gate.Follow(server)
}

// follow names the search settings that hold.
func (p *Program) follow(current func() *catalog.Catalog) { p.current.Store(&current) }

// search sets up the search front, and the store where there is one. The other process
// must have gone: it has the address and the store's files.
func (p *Program) search() (err error) {
	if p.cfg.Search.Listen == "" || len(p.fronts) == p.planned() {
		return nil
	}
	initial := &p.cfg.Search.Catalog
	p.layouts.take(initial)
	answers := opensearch.FixedSettings(initial)
	if p.cfg.Search.Store.ID != "" {
		c := p.cfg.Search.Store
		c.Initial, c.Changed = initial, p.layouts.take
		if p.store, err = store.Open(c); err != nil {
			return err
		}
		p.opened.Store(p.store)
		p.follow(p.store.Current)
		answers = opensearch.StoreSettings(p.store)
	}
	front := &opensearch.Front{Core: p.core, Shards: p.cfg.module.Shards, Counters: p.count, Catalog: *p.current.Load(),
		Settings: answers, Prefix: strconv.FormatUint(p.cfg.seed, 16)}
	if p.store != nil {
		front.Changes = p.store
	}
	front.Bodies = p.bodies
	for i, name := range p.cfg.host.Classes {
		front.Classes = append(front.Classes, opensearch.Class{Name: name, Deadline: p.cfg.module.Classes[i].Deadline,
			Worth: p.cfg.module.Classes[i].Worth})
	}
	ln, err := net.Listen("tcp", p.cfg.Search.Listen)
	if err != nil {
		if p.store != nil {
			_ = p.store.Close()
		}
		return fmt.Errorf("front search: %w", err)
	}
	p.add("search", ln, front)
	server := p.fronts[len(p.fronts)-1]
	server.MaxBody = cmp.Or(p.cfg.Search.Bodies.MaxKiB, maxBodyDefault) << 10
	if p.bodies != nil {
		server.Spools = p.spools
	}
	return nil
}

// protocols tells how league servers are spoken to.
func (p *Program) protocols() link.Protocols {
	common := peer.Config{Sink: p.core, Counters: p.count, Figures: p.figures, Places: p.dials,
		ConnectTimeout: p.cfg.host.ConnectTimeout, Keepalive: p.cfg.host.Keepalive}
	maker := func(d peer.Dialect) link.Make {
		return func(name, addr string) link.Carrier { return peer.New(common, d, name, addr) }
	}
	return link.Protocols{
		Makers: map[string]link.Make{
			catalog.Plain:  maker(frame.Dialect{MaxStreams: p.cfg.host.MaxStreams, ReportNames: p.cfg.host.ReportNames}),
			catalog.Search: maker(opensearch.Dialect{ReportNames: p.cfg.host.ReportNames}),
		},
		Of: func(server string) string { return (*p.current.Load())().Protocol(server) },
	}
}

// stop takes in what still comes, then finishes what was taken. Where the platform holds
// the socket another process accepts on it, and this one stops at once.
func (p *Program) stop(accepting *sync.WaitGroup) {
	p.gate.End()
	wait := grace
	if p.cfg.listenFD != 0 {
		wait = 0
	}
	event.Stopping.Log(wait.Milliseconds())
	time.Sleep(wait)
	for _, ln := range p.lns {
		_ = ln.Close()
	}
	accepting.Wait()
	time.Sleep(lastCalls - wait)
	p.post.Leave(p.core.Held())
	for _, front := range p.fronts {
		front.Stop()
	}
}

// patience is how long after SIGTERM the process may take: the platform kills once the
// longest deadline, or 3 s where that is longer, and 0.7 s have passed.
func (p *Program) patience() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.cfg.module.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killAfter) + killMargin
}

// ListenForNews takes the signals that end nothing: SIGUSR1 asks for the counters,
// SIGHUP tells of a new configuration. Without a taker SIGHUP would end the program.
func ListenForNews() <-chan os.Signal {
	news := make(chan os.Signal, 8)
	signal.Notify(news, syscall.SIGUSR1, syscall.SIGHUP)
	return news
}

// Addrs are the addresses that the fronts listen on: the platform's first, then the search front's.
func (p *Program) Addrs() (out []net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ln := range p.lns {
		out = append(out, ln.Addr())
	}
	return out
}

// Counters are the program's own.
func (p *Program) Counters() *counters.Set { return p.count }
