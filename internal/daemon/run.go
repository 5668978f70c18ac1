// Package daemon puts the program together: the core, what it stands on, its fronts, and
// the way from its start to its end.
package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"linkpass"
	"linkpass/internal/admin"
	"linkpass/internal/bodies"
	"linkpass/internal/bodies/tier"
	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/endpoints"
	"linkpass/internal/eventlog"
	"linkpass/internal/frame"
	"linkpass/internal/handover"
	"linkpass/internal/http1"
	"linkpass/internal/lifecycle"
	"linkpass/internal/link"
	"linkpass/internal/metrics"
	"linkpass/internal/opensearch"
	"linkpass/internal/peer"
	"linkpass/internal/reshardexec"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

const (
	grace      = 450 * time.Millisecond // after SIGTERM new connections still come
	lastIn     = 50 * time.Millisecond  // past that, what the machine has accepted meanwhile is taken in
	lastCalls  = 600 * time.Millisecond // after SIGTERM connections that ask nothing are kept
	killAfter  = 3 * time.Second
	killMargin = 350 * time.Millisecond // of the 700 past that: for the last answers
	lastWords  = 150 * time.Millisecond // for those answers to be written

	memoryShare    = 0.6 // of the limit is the collector's; the rest is for what it does not see
	defaultSockets = 1024
	ownSockets     = 24 + admin.MaxConns // descriptors for the program itself: its streams, listeners, discovery, the store, the door
	mailboxSize    = 1024
)

// Program is what runs: the core, what it stands on, and its fronts.
type Program struct {
	cfg        Config
	count      *metrics.Counters
	figures    *metrics.Totals
	core       *coordinator.Core
	links      *link.Set
	watcher    *discovery.Watcher
	store      *store.Store // nil: off
	opened     atomic.Pointer[store.Store]
	layouts    *layouts
	steward    *reshardexec.Executor // of the layouts; nil: no store
	agreement  *endpoints.Registry   // on servers; nil: no store
	bodies     *bodies.Store
	roster     roster
	began      time.Time
	bodyLimits tier.Limits // of all processes together
	gate       admin.Readiness
	parts      *lifecycle.Group
	fronts     []*http1.Server
	lns        []net.Listener // of the fronts, in their order
	door       *entrance      // nil: none
	welcome    chan struct{}  // closed once clients are to be let in
	leaving    chan struct{}  // closed once no more are
	accepting  sync.WaitGroup // what lets clients in
	dials      *peer.Places   // connections that all league servers may take
	current    atomic.Pointer[func() *searchconfig.Config]

	fixed       atomic.Pointer[searchconfig.Config] // the file's, where there is no store
	keys        keyring
	controlAddr atomic.Value  // string: of the API over TCP
	reloading   sync.Mutex    // one at a time
	changed     chan struct{} // told when the configuration is to be read again

	post  *handover.Group
	alone chan struct{} // told when no other process of this coordinator runs any more

	mu      sync.Mutex // guards what follows: the share of the limits
	share   handover.Share
	clients int  // connections that each front may hold
	over    bool // the parts are about to end: nothing new takes hold
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
		eventlog.HandoverShare.Log(s.Processes, s.MaxOpen)
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
		p.core.Room(s.MaxOpen)
	}
	p.limitBodies()
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
func (p *Program) Serve(term context.Context, news <-chan os.Signal) error {
	cfg := p.cfg
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	coreDone := make(chan struct{})
	go func() {
		defer close(coreDone)
		p.core.Run(ctx)
	}()
	p.mu.Lock()
	young := p.young()
	p.mu.Unlock()
	if !young {
		close(p.welcome)
	}
	p.parts.Run(context.Background())
	eventlog.Started.Log(cfg.name, cfg.discovery, len(cfg.known.Servers))
	go p.reloads(ctx)
	p.follow(term, news, young)

	stopping := make(chan struct{})
	go func() {
		defer close(stopping)
		p.stop()
	}()
	p.outlast(stopping, news)
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
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	err := p.parts.Stop()
	p.count.Log("exit")
	eventlog.Stopped.Log()
	return err
}

// outlast does what the news ask for until the program has stopped. That ends before the platform
// kills: what is still open is failed then, while it can be told.
func (p *Program) outlast(stopping <-chan struct{}, news <-chan os.Signal) {
	kill := time.NewTimer(p.patience())
	defer kill.Stop()
	for {
		select {
		case <-stopping:
			return
		case <-kill.C:
			return
		case sig := <-news: // what is open is still sent by the list, and discovery may move
			p.hear(sig)
		}
	}
}

// hear does what a signal asks for. It does not wait for files: they may be slow, and SIGTERM may come.
func (p *Program) hear(sig os.Signal) {
	if sig == syscall.SIGHUP {
		select {
		case p.changed <- struct{}{}:
		default: // what waits already will read the files as they are then
		}
		return
	}
	p.count.Log("signal")
	p.printBodies()
}

// reloads reads the configuration again each time that it was said to have changed, until the context ends.
func (p *Program) reloads(ctx context.Context) {
	for {
		select {
		case <-p.changed:
			_, _ = p.Reload() // the log tells
		case <-ctx.Done():
			return
		}
	}
}

// follow does what the news ask for until the context ends.
func (p *Program) follow(term context.Context, news <-chan os.Signal, young bool) {
	usable, warm := p.watcher.Usable(), make(chan struct{})
	for {
		select {
		case <-usable:
			usable = nil
			if !young {
				p.gate.MarkUsable()
				break
			}
			// The other process serves meanwhile: this one joins it when it knows its servers.
			p.core.Warm(func() { close(warm) })
		case <-warm:
			warm = nil
			close(p.welcome)
			p.gate.MarkUsable()
		case <-p.alone:
			p.mu.Lock()
			p.parts.StartDeferred(func(name string, err error) {
				switch name {
				case "control":
					eventlog.AdminAPIFailed.Log(err)
				default:
					eventlog.SearchFailed.Log(err)
				}
			})
			p.mu.Unlock()
		case sig := <-news:
			p.hear(sig)
		case <-term.Done():
			return
		}
	}
}

// Start sets everything up and takes the addresses to listen on: all of it, or nothing and an error that names the
// part.
func Start(cfg Config) (*Program, error) {
	if cfg.cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.cores)))
	}
	if cfg.sockets <= 0 {
		cfg.sockets = defaultSockets
	}
	p := &Program{cfg: cfg, began: time.Now(), count: metrics.NewCounters(), figures: metrics.NewTotals(cfg.host.Classes),
		dials: peer.NewPlaces(0), alone: make(chan struct{}, 1), welcome: make(chan struct{}), leaving: make(chan struct{}),
		changed: make(chan struct{}, 1)}
	p.fixed.Store(&cfg.Search.Config)
	p.settle(p.fixed.Load)
	p.join()
	var err error
	if p.parts, err = lifecycle.New(p.list()...); err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		err = p.parts.Start(!p.young())
	}
	if err != nil {
		p.post.Close()
		return nil, err
	}
	return p, nil
}

// list is the program, part by part, in the order of its start. What listens where the other process of a change of
// version may still listen comes late.
func (p *Program) list() []lifecycle.Component {
	return []lifecycle.Component{
		{Name: "handover", Stop: func() error { p.post.Close(); return nil }},
		{Name: "core", DependsOn: []string{"handover"}, Start: p.openCore},
		{Name: "bodies", DependsOn: []string{"core"}, Start: p.openBodies, Stop: p.closeBodies},
		{Name: "links", DependsOn: []string{"core"}, Start: p.openLinks, Stop: func() error { p.links.Close(); return nil }},
		{Name: "layouts", DependsOn: []string{"core"}, Start: p.openLayouts, Run: p.runSteward},
		{Name: "agreement", DependsOn: []string{"links", "layouts"}, Start: p.openAgreement, Run: p.runAgreement},
		{Name: "discovery", DependsOn: []string{"agreement"}, Start: p.openDiscovery, Run: func(ctx context.Context) { p.watcher.Run(ctx, p.cfg.known) }},
		p.platformPart(),
		p.doorPart(),
		p.searchPart(),
		p.controlPart(),
	}
}

// join finds another process of this coordinator, and shares the limits with it.
func (p *Program) join() {
	var err error
	if p.post, err = handover.Join(os.TempDir(), p.cfg.name, p.cfg.module.MaxOpen, p.keepTo); err != nil {
		eventlog.HandoverFailed.Log(err) // one that runs alone does without
		p.keepTo(handover.Share{Processes: 1, MaxOpen: p.cfg.module.MaxOpen})
	}
}

func (p *Program) openCore() (err error) {
	if p.young() {
		p.cfg.seed ^= uint64(os.Getpid()) * 0x9e3779b97f4a7c15 // chance and names apart from the other's
	}
	module := p.cfg.module
	module.MaxOpen = p.share.MaxOpen
	p.core, err = coordinator.New(coordinator.Config{Settings: module, Seed: p.cfg.seed,
		ProbeTimeout: p.cfg.host.ConnectTimeout, Counters: p.count, Figures: p.figures, Mailbox: mailboxSize,
		KeepPlans: p.cfg.Search.Reshape.Replan != nil && !*p.cfg.Search.Reshape.Replan})
	return err
}

func (p *Program) openLinks() error {
	p.links = link.NewSet(p.protocols())
	p.core.Bind(p.links)
	return nil
}

// listeners are all who follow the list of servers, the core last.
func (p *Program) listeners() listTee {
	list := listTee{p.core, []listener{&p.roster}}
	if p.steward != nil {
		list.others = append(list.others, p.steward)
	}
	return list
}

func (p *Program) listReader() *discovery.Reader {
	return &discovery.Reader{Zones: p.cfg.host.Zones, Kinds: p.cfg.host.Kinds, Cells: p.cfg.module.Cells, Clock: p.core.Clock}
}

func (p *Program) openDiscovery() error {
	var list discovery.Core = p.listeners()
	if p.agreement != nil {
		list = agreedList{p.core, p.agreement}
	}
	p.watcher = discovery.NewWatcher(p.cfg.discovery, p.listReader(), list, p.count)
	p.watcher.Seed = p.cfg.seed
	p.watcher.Patience = listPatience(p.cfg.module)
	return nil
}

// listPatience is that with one service for all where changes have to be asked for, and that with an agent otherwise.
func listPatience(set linkpass.Settings) discovery.Patience {
	if set.Subscribe {
		return discovery.Queued
	}
	return discovery.Pushed(set.DrainGrace)
}

// shareSockets divides the descriptors: half of what the program does not need for
// itself is for clients, the fronts alike, and half for the league servers, so that
// neither can starve the other. Clients with a request open need a third at most.
func shareSockets(sockets, fronts int) (clients, servers int) {
	rest := max(2, sockets-ownSockets)
	return max(1, rest/2/fronts), rest - rest/2
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
			searchconfig.ProtocolPlain:  maker(frame.Dialect{MaxStreams: p.cfg.host.MaxStreams, ReportNames: p.cfg.host.ReportNames}),
			searchconfig.ProtocolSearch: maker(opensearch.Dialect{ReportNames: p.cfg.host.ReportNames}),
		},
		Of: func(server string) string { return (*p.current.Load())().Protocol(server) },
	}
}

// stop takes in what still comes, then finishes what was taken. Where the platform holds
// the socket another process accepts on it, and this one stops at once. Elsewhere nobody
// else would take what waits at the socket: it is closed only once that has been taken in.
func (p *Program) stop() {
	p.gate.Shutdown()
	wait := grace
	if p.cfg.listenFD != 0 {
		wait = 0
	}
	eventlog.Stopping.Log(wait.Milliseconds())
	time.Sleep(wait)
	close(p.leaving)
	own, shared := p.lns, []net.Listener(nil)
	if p.cfg.listenFD != 0 {
		own, shared = p.lns[1:], p.lns[:1]
	}
	closeAfter(own, shared, p.accepting.Wait)
	time.Sleep(lastCalls - wait)
	p.post.Retire(p.core.Held())
	for _, front := range p.fronts {
		front.Stop()
	}
}

// closeAfter draws the line behind which nobody is let in. Listeners shared with other processes are closed at
// once; at those of our own all that the machine has accepted is let in first. accepted waits until that is done.
func closeAfter(own, shared []net.Listener, accepted func()) {
	for _, ln := range shared {
		_ = ln.Close()
	}
	for _, ln := range own {
		_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(lastIn))
	}
	accepted()
	for _, ln := range own {
		_ = ln.Close()
	}
}

// patience is how long after SIGTERM the process may take: the platform kills once the
// longest deadline, or 3 s where that is longer, and 0.7 s have passed.
func (p *Program) patience() time.Duration {
	return min(p.longest(), killAfter) + killMargin
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
func (p *Program) Counters() *metrics.Counters { return p.count }
