// Package daemon is the coordinator's program. It creates the components, each with its dependencies, starts them and
// stops them. It owns the configuration and its reload, the handling of signals, and the order of a graceful shutdown.
// It does not decide how queries are routed, nor what the components' own packages do.
package daemon

import (
	"runtime"

	"linkpass/internal/lifecycle"
	"linkpass/internal/metrics"
	"linkpass/internal/upstream"
)

// Program is a coordinator that has started. It has all components as a group, and separately those that Serve uses.
type Program struct {
	*adminBackend
	components *lifecycle.Group
	limits     *limitsShare
	discovery  *discoveryWatcher
	admin      *adminListener
	shutdown   *shutdown
}

// Start creates the components and starts them. If one fails, none is left running, and the error names the component
// that failed. Components that need something that a predecessor may still own are started later, by Serve.
func Start(cfg Config) (*Program, error) {
	if cfg.cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.cores)))
	}
	if cfg.sockets <= 0 {
		cfg.sockets = defaultSockets
	}
	p, list := newProgram(cfg)
	p.limits.join()
	if err := p.startComponents(list); err != nil {
		p.limits.group.Close() // without mu, for which a share that arrives waits
		return nil, err
	}
	return p, nil
}

// startComponents starts the components. If one fails, none is left running.
func (p *Program) startComponents(list []lifecycle.Component) (err error) {
	if p.components, err = lifecycle.New(list...); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.components.Start(!p.isSuccessor())
}

// newProgram creates the components, and returns them in the order of their start.
func newProgram(cfg Config) (*Program, []lifecycle.Component) {
	proc := newProcess(cfg)
	connLimiter := upstream.NewConnLimiter(0)
	settings := newActiveSettings(&cfg.Search.Config) // proc.cfg is a copy of cfg, and a reload overwrites it
	st, names := &replicatedStore{}, &endpointNames{}

	core := newQueryCore(proc)
	bodies := newBodyStore(proc, core, settings)
	fronts := newClientFronts(proc, core)
	limits := newLimitsShare(proc, connLimiter, core, bodies, fronts)
	upstreams := newUpstreamLinks(proc, core, settings, connLimiter)
	shards := newShardMaps(proc, core, st)
	registry := newEndpointRegistry(proc, core, names, shards, st)
	observer := newStoreObserver(proc, settings, registry, st)
	watcher := newDiscoveryWatcher(proc, core, names, shards, registry)
	platform := newPlatformFront(proc, core, bodies, fronts)
	admin := newAdminListener(proc, core)
	search := &searchFront{process: proc, core: core, bodies: bodies, fronts: fronts, settings: settings,
		shards: shards, registry: registry, store: st}
	api := newAdminAPI(proc, core)
	reload := &reloader{process: proc, limits: limits, bodies: bodies, shards: shards, settings: settings,
		discovery: watcher, api: api, requested: make(chan struct{}, 1)}
	api.backend = &adminBackend{process: proc, core: core, bodies: bodies, fronts: fronts, settings: settings,
		names: names, registry: registry, store: st, api: api, reloader: reload}

	stop := &shutdown{process: proc, core: core, fronts: fronts, limits: limits}
	p := &Program{adminBackend: api.backend, limits: limits, discovery: watcher, admin: admin, shutdown: stop}
	return p, componentsOf(limits, core, bodies, upstreams, shards, registry, observer, watcher, platform, admin, search, api)
}

// componentsOf returns the components of the parts of a program, in their order.
func componentsOf(parts ...interface{ component() lifecycle.Component }) []lifecycle.Component {
	list := make([]lifecycle.Component, len(parts))
	for i, part := range parts {
		list[i] = part.component()
	}
	return list
}

// Counters returns the program's counters.
func (p *Program) Counters() *metrics.Counters { return p.counters }
