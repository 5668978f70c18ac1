package endpoints

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"linkpass/internal/config"
	"linkpass/internal/config/endpointmerge"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
)

// Registry is an instance's list of servers. Its methods are safe for concurrent use.
type Registry struct {
	cfg          Config
	broadcasters []*worker // one for each other instance in Config.Broadcast
	proposer     *worker
	goneSaver    *goneSaver
	saving       chan struct{} // has an element while the pending requests are written to disk; capacity 1

	mu                 sync.Mutex // guards the fields below, and orders the calls of OnUpdate
	pending            *restriction.PendingSet
	merger             *endpointmerge.Merger
	log                ReplicatedLog                     // nil until Attach
	publishedOverrides map[string]endpointmerge.Override // by server: those last given to the merger, without empty ones
	joined             map[Peer]*joinedPeer
	publishedRemovals  map[string]bool // servers removed by the log, for good, as given to the merger
	recent             recentRequests
	pendingChanges     uint64 // number of times that requests became pending
	savedChanges       uint64 // pendingChanges at the last save
}

// New returns a Registry without endpoints. It accepts restrictions once Attach has been called, and broadcasts and
// proposes them while Run runs.
func New(c Config) *Registry {
	origin := restriction.Origin{Instance: c.InstanceID, Incarnation: c.Incarnation}
	r := &Registry{
		cfg:                c,
		pending:            restriction.NewPendingSet(origin),
		merger:             endpointmerge.New(),
		publishedOverrides: map[string]endpointmerge.Override{},
		joined:             map[Peer]*joinedPeer{},
		publishedRemovals:  map[string]bool{},
		recent:             recentRequests{},
		saving:             make(chan struct{}, 1),
	}
	for id, send := range c.Broadcast {
		r.broadcasters = append(r.broadcasters, r.newBroadcaster(id, send))
	}
	r.proposer = newWorker(r.requestsToPropose, r.propose)
	r.goneSaver = newGoneSaver(r.goneToSave)
	return r
}

// Run broadcasts and proposes until the context ends, and returns when all workers have ended. Each other
// instance has a worker of its own, so that an instance that does not answer delays no other. Run must be called only
// once.
func (r *Registry) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for _, w := range r.broadcasters {
		workers.Go(func() { w.run(ctx) })
	}
	workers.Go(func() { r.proposer.run(ctx) })
	workers.Go(func() { r.goneSaver.run(ctx) })
	if r.cfg.JoinedPeers != nil {
		workers.Go(func() { r.followJoinedPeers(ctx, &workers) })
	}
	workers.Wait()
}

// Attach sets the replicated log, which must be open, and applies the overrides in it and the requests that were pending
// when this instance last ran.
func (r *Registry) Attach(log ReplicatedLog) {
	pending, err := log.LoadPending()
	if err != nil {
		eventlog.StoreFailed.Log(err)
	}
	gone, err := log.LoadGone()
	if err != nil {
		eventlog.StoreFailed.Log(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = log
	r.restoreGone(gone)
	restored := r.pending.Receive(log.State(), pending...)
	r.cfg.Counters.Add("restrictions_restored", int64(len(restored)))
	for _, request := range restored {
		eventlog.RestrictionReceived.Log(request.ID, request.Server, request.Level, "this instance's disk")
	}
	r.publishOverrides(log.State())
	r.wakeWorkers()
}

// Observe applies the overrides in the state of another process of this instance, which has the log open, the requests
// that are pending there and the added servers that are gone; that process broadcasts, proposes and saves them. After
// Attach it does nothing.
func (r *Registry) Observe(state *config.State, pending []restriction.Request, gone GoneServers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != nil {
		return
	}
	r.restoreGone(gone)
	for _, request := range r.pending.Receive(state, pending...) {
		eventlog.RestrictionReceived.Log(request.ID, request.Server, request.Level, "the other process")
	}
	r.pending.DropSettled(state)
	r.publishOverrides(state)
}

// UpdateEndpoints applies an update of discovery.
func (r *Registry) UpdateEndpoints(update coordinator.EndpointUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.OnUpdate(r.merger.ApplyDiscovery(update))
	r.goneSaver.notify()
}

// LogApplied must be called each time the instance has applied more of the log. It drops the pending requests that the
// log has settled, and applies the changed overrides. Before Attach it does nothing.
func (r *Registry) LogApplied() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		return
	}
	state := r.log.State()
	r.pending.DropSettled(state)
	r.publishOverrides(state)
}

// Restrict takes a server out of service: at this instance at once, at the others as soon as they receive the request,
// and permanently once the log has settled it. When it returns nil, the request is on disk. The error is a
// *RejectedError if the log would reject the request in its present state, ErrStoreNotReady before Attach, and
// ErrNotOnDisk if the request is in force but was not written to disk in time.
func (r *Registry) Restrict(server string, level restriction.Level, force bool) (restriction.Request, error) {
	request, err := r.issue(server, level, force)
	if err != nil {
		return request, err
	}
	return request, r.savePending()
}

// issue puts a restriction into force.
func (r *Registry) issue(server string, level restriction.Level, force bool) (restriction.Request, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		return restriction.Request{}, ErrStoreNotReady
	}
	state := r.log.State()
	if err := r.checkRestriction(state, server, level, force); err != nil {
		return restriction.Request{}, err
	}
	request, err := r.pending.Issue(server, level, force)
	if err != nil {
		return request, err
	}
	if state.Settled().Contains(request.ID) {
		return request, fmt.Errorf("endpoints: restrict %s: request %s counts as settled: "+
			"this process's clock is behind that of an earlier one", server, request.ID)
	}
	r.pendingChanges++
	r.cfg.Counters.Add("restrictions_issued", 1)
	eventlog.RestrictionReceived.Log(request.ID, request.Server, request.Level, "an operator")
	r.recent.add(request)
	r.publishOverrides(state)
	r.wakeWorkers()
	return request, nil
}

// checkRestriction returns a *RejectedError if the log would reject a restriction in this state. The request that it
// tries has the id of a later incarnation, which cannot be settled yet. Before the first settings are in the log, the
// log cannot decide; the restriction is then allowed, and its request stays pending.
func (r *Registry) checkRestriction(state *config.State, server string, level restriction.Level, force bool) error {
	origin := restriction.Origin{Instance: r.cfg.InstanceID, Incarnation: r.cfg.Incarnation + 1}
	request := restriction.Request{
		ID:     restriction.ID{Origin: origin, Seq: 1},
		Server: server,
		Level:  level,
		Force:  force,
	}
	_, result := state.Apply(config.Command{Kind: config.RestrictServer, Restriction: &request})
	if result.Reason != config.Applied && result.Reason != config.NotInitialized {
		return &RejectedError{Result: result}
	}
	return nil
}

// ReceiveRestrictions adds requests that another instance, from, has broadcast. They take effect here at once, and are on
// disk when it returns nil; otherwise the other instance sends them again. Before Attach it fails with ErrStoreNotReady.
func (r *Registry) ReceiveRestrictions(from string, requests []restriction.Request) error {
	added, err := r.receive(from, requests)
	if err != nil || added == 0 && r.saved() {
		return err
	}
	return r.savePending()
}

// receive puts the restrictions of another instance into force that are not pending yet, and returns their number.
func (r *Registry) receive(from string, requests []restriction.Request) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		return 0, ErrStoreNotReady
	}
	added := r.pending.Receive(r.log.State(), requests...)
	for _, request := range added {
		r.cfg.Counters.Add("restrictions_received", 1)
		eventlog.RestrictionReceived.Log(request.ID, request.Server, request.Level, from)
		r.recent.add(request)
	}
	if len(added) > 0 {
		r.pendingChanges++
		r.publishOverrides(r.log.State())
		r.wakeWorkers()
	}
	return len(added), nil
}

// PendingRestrictions returns the requests that the log has not settled yet.
func (r *Registry) PendingRestrictions() []restriction.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending.List()
}

// wakeWorkers wakes all workers. The caller must hold the mutex.
func (r *Registry) wakeWorkers() {
	for _, w := range r.broadcasters {
		w.notify()
	}
	for _, peer := range r.joined {
		peer.notify()
	}
	r.proposer.notify()
}

// publishOverrides passes the overrides that have changed in a state to the merger, and the update that results to
// OnUpdate. What is in force follows from the state and the pending requests alone, however they came here. The caller
// must hold the mutex.
func (r *Registry) publishOverrides(state *config.State) {
	changed := map[string]endpointmerge.Override{}
	for _, name := range r.overriddenServers(state) {
		override := r.override(state, name)
		if !r.publishedOverrides[name].Equal(override) {
			changed[name] = override
			r.publishedOverrides[name] = override
		}
		if state.Restriction(name) == restriction.Removed {
			r.publishedRemovals[name] = true
		}
		if r.publishedRemovals[name] || override == (endpointmerge.Override{}) {
			delete(r.publishedOverrides, name)
		}
	}
	if update := r.merger.ApplyOverrides(changed); len(update.Endpoints) > 0 {
		r.cfg.OnUpdate(update)
	}
	r.goneSaver.notify()
}

// overriddenServers returns the servers that have an override or had one when it was last published, sorted, except those
// whose removal was published. The caller must hold the mutex.
func (r *Registry) overriddenServers(state *config.State) []string {
	names := state.ServerIDs()
	for _, request := range r.pending.List() {
		names = append(names, request.Server)
	}
	for name := range r.publishedOverrides {
		names = append(names, name)
	}
	if state.RemovedCount() != len(r.publishedRemovals) { // the removals that were published are in the state
		names = append(names, state.RemovedIDs()...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return r.publishedRemovals[name] })
}

// override returns the override of a server that is in effect here. The caller must hold the mutex.
func (r *Registry) override(state *config.State, name string) endpointmerge.Override {
	server, _ := state.Server(name)
	override := endpointmerge.Override{Restriction: r.pending.Effective(state, name), Weight: server.Weight}
	if server.Spec == nil {
		return override
	}
	endpoint, err := r.cfg.ResolveEndpoint(name, *server.Spec)
	if err != nil {
		eventlog.EndpointListInvalid.Log(fmt.Errorf("resolve replicated server %q: %w", name, err))
		return override
	}
	override.Added = &endpoint
	return override
}
