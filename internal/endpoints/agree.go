// Package endpoints keeps an instance's list of servers by discovery and by what instances agree on: orders hold here at once,
// are spread beside the log, and are proposed until the log has settled them. It decides nothing that internal/config does
// not decide.
package endpoints

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/endpointmerge"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
)

// ReplicatedLog is the replicated store.
type ReplicatedLog interface {
	State() *config.State
	IsLeader() bool
	Propose(config.Command) (config.Result, error)
}

// Config sets up an instance's part.
type Config struct {
	InstanceID      string // this instance's id
	Incarnation     uint64 // of this process; grows from one to the next
	OnUpdate        func(coordinator.EndpointUpdate)
	ResolveEndpoint func(id string, spec config.ServerSpec) (coordinator.Endpoint, error) // how an added server is listed
	Broadcast       map[string]func(context.Context, []restriction.Request) error         // to each other instance, by id
	Counters        *metrics.Counters
}

const (
	// Between two tries while something is unsettled: many in the first second, as that is what a drain has, then few, as
	// a partition may last for hours.
	tryFirst    = 25 * time.Millisecond
	tryLater    = 400 * time.Millisecond
	firstTries  = 20
	spreadLimit = 300 * time.Millisecond // for one call
	spreadFor   = 10 * time.Second       // an order that the log has settled
)

// Registry is an instance's part. Its methods may be called from anywhere.
type Registry struct {
	cfg  Config
	wake []chan struct{} // one for each who works while something is unsettled

	mu        sync.Mutex // also orders what goes to Next
	pending   *restriction.PendingSet
	merger    *endpointmerge.Merger
	log       ReplicatedLog // nil: not open yet
	announced map[string]endpointmerge.Override
	recent    map[restriction.ID]recent
}

// recent is an order that came a moment ago. It is spread although the log has settled it here: another instance may hear
// this one and be far behind in the log.
type recent struct {
	order restriction.Request
	until time.Time
}

// New makes one that knows nothing yet.
func New(c Config) *Registry {
	a := &Registry{cfg: c, pending: restriction.NewPendingSet(restriction.Origin{Instance: c.InstanceID, Incarnation: c.Incarnation}), merger: endpointmerge.New(), announced: map[string]endpointmerge.Override{}, recent: map[restriction.ID]recent{}}
	for range len(c.Broadcast) + 1 {
		a.wake = append(a.wake, make(chan struct{}, 1))
	}
	return a
}

// Attach says that the log can be read from now on.
func (a *Registry) Attach(log ReplicatedLog) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log = log
	a.announce(log.State().RemovedIDs())
}

// UpdateEndpoints takes discovery's news and hands on the list's.
func (a *Registry) UpdateEndpoints(l coordinator.EndpointUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.OnUpdate(a.merger.ApplyDiscovery(l))
}

// LogApplied says that the log has moved on.
func (a *Registry) LogApplied() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.log == nil {
		return
	}
	a.pending.DropSettled(a.log.State())
	a.announce(nil)
}

// announce hands on what has changed of servers, these and all that something is agreed of. The lock is held.
func (a *Registry) announce(names []string) {
	state := a.log.State()
	names = append(names, state.ServerIDs()...)
	for _, o := range a.pending.List() {
		names = append(names, o.Server)
	}
	for name := range a.announced {
		names = append(names, name)
	}
	slices.Sort(names)
	news := map[string]endpointmerge.Override{}
	for _, name := range slices.Compact(names) {
		now := a.override(state, name)
		if was := a.announced[name]; !same(was, now) {
			news[name], a.announced[name] = now, now
		}
		if now == (endpointmerge.Override{}) {
			delete(a.announced, name)
		}
	}
	if l := a.merger.ApplyOverrides(news); len(l.Endpoints) > 0 {
		a.cfg.OnUpdate(l)
	}
}

func same(a, b endpointmerge.Override) bool {
	return a.Restriction == b.Restriction && a.Weight == b.Weight && (a.Added == nil) == (b.Added == nil) && (a.Added == nil || *a.Added == *b.Added)
}

func (a *Registry) override(state *config.State, name string) endpointmerge.Override {
	v, _ := state.Server(name)
	now := endpointmerge.Override{Restriction: a.pending.Effective(state, name), Weight: v.Weight}
	if v.Spec != nil {
		m, err := a.cfg.ResolveEndpoint(name, *v.Spec)
		if err != nil {
			eventlog.EndpointListInvalid.Log(fmt.Errorf("agreed server %q: %w", name, err))
			return now
		}
		now.Added = &m
	}
	return now
}

// ErrStoreNotReady says that the store is not open.
var ErrStoreNotReady = errors.New("agree: the store is not open yet")

// Restrict takes a server out of service: here at once, elsewhere as soon as it is heard there, for good once the log has it.
// What the log would refuse by what is known here is refused here.
func (a *Registry) Restrict(server string, kind restriction.Level, force bool) (restriction.Request, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.log == nil {
		return restriction.Request{}, ErrStoreNotReady
	}
	state := a.log.State()
	probe := restriction.Request{ID: restriction.ID{Origin: restriction.Origin{Instance: a.cfg.InstanceID, Incarnation: a.cfg.Incarnation + 1}, Seq: 1}, Server: server, Level: kind, Force: force}
	if _, r := state.Apply(config.Command{Kind: config.RestrictServer, Restriction: &probe}); r.Reason != config.Applied && r.Reason != config.NotInitialized {
		return restriction.Request{}, &RejectedError{r}
	}
	o, err := a.pending.Issue(server, kind, force)
	if err != nil {
		return o, err
	}
	if state.Settled().Contains(o.ID) {
		return o, fmt.Errorf("agree: order %s counts as settled: this process's clock is behind those before it", o.ID)
	}
	a.cfg.Counters.Add("restrictions_issued", 1)
	eventlog.RestrictionReceived.Log(o.ID, o.Server, o.Level, "an operator")
	a.remember(o)
	a.announce(nil)
	a.wakeWorkers()
	return o, nil
}

// RejectedError is a command that the log did not take, or would not.
type RejectedError struct{ config.Result }

// Error says why.
func (r *RejectedError) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Detail) }

// ReceiveRestrictions takes orders from another instance, beside the log.
func (a *Registry) ReceiveRestrictions(from string, orders []restriction.Request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.log == nil {
		return ErrStoreNotReady
	}
	news := a.pending.Receive(a.log.State(), orders...)
	for _, o := range news {
		a.cfg.Counters.Add("restrictions_received", 1)
		eventlog.RestrictionReceived.Log(o.ID, o.Server, o.Level, from)
		a.remember(o)
	}
	if len(news) > 0 {
		a.announce(nil)
		a.wakeWorkers()
	}
	return nil
}

// PendingRestrictions are the orders that the log has not decided yet.
func (a *Registry) PendingRestrictions() []restriction.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending.List()
}

// remember keeps an order to be spread; the lock is held. Past the bound it is spread only until it is settled.
func (a *Registry) remember(o restriction.Request) {
	now := time.Now()
	maps.DeleteFunc(a.recent, func(_ restriction.ID, r recent) bool { return r.until.Before(now) })
	if len(a.recent) < restriction.MaxPending {
		a.recent[o.ID] = recent{o, now.Add(spreadFor)}
	}
}

// toBroadcast are the orders that other instances are to hear of.
func (a *Registry) toBroadcast() []restriction.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.pending.List()
	for id, r := range a.recent {
		if r.until.After(time.Now()) && !slices.ContainsFunc(out, func(o restriction.Request) bool { return o.ID == id }) {
			out = append(out, r.order)
		}
	}
	return out
}

// wakeWorkers wakes those who spread and propose.
func (a *Registry) wakeWorkers() {
	for _, c := range a.wake {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Run spreads and proposes until the context ends: one worker for each other instance, so that one that hangs holds up
// nobody, and one for the log.
func (a *Registry) Run(ctx context.Context) {
	var all sync.WaitGroup
	i := 0
	for id, send := range a.cfg.Broadcast {
		wake := a.wake[i]
		i++
		all.Go(func() {
			told := map[restriction.ID]bool{}
			a.work(ctx, wake, a.toBroadcast, func(open []restriction.Request) { a.broadcast(ctx, id, send, open, told) })
		})
	}
	all.Go(func() { a.work(ctx, a.wake[i], a.PendingRestrictions, a.propose) })
	all.Wait()
}

// work does something again and again while there are orders for it, and sleeps otherwise.
func (*Registry) work(ctx context.Context, wake <-chan struct{}, orders func() []restriction.Request, do func([]restriction.Request)) {
	for tries := 0; ; tries++ {
		var again <-chan time.Time
		if open := orders(); len(open) > 0 {
			do(open)
			pause := tryFirst
			if tries >= firstTries {
				pause = tryLater
			}
			again = time.After(pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
			tries = 0
		case <-again:
		}
	}
}

// broadcast tells another instance what it has not confirmed to have heard.
func (a *Registry) broadcast(ctx context.Context, id string, send func(context.Context, []restriction.Request) error, open []restriction.Request, told map[restriction.ID]bool) {
	still := map[restriction.ID]bool{}
	var news []restriction.Request
	for _, o := range open {
		if still[o.ID] = told[o.ID]; !told[o.ID] {
			news = append(news, o)
		}
	}
	clear(told)
	if len(news) > 0 {
		call, cancel := context.WithTimeout(ctx, spreadLimit)
		err := send(call, news)
		cancel()
		if err != nil {
			a.cfg.Counters.Add("restrictions_unacknowledged_"+id, 1)
		}
		for _, o := range news {
			still[o.ID] = err == nil
		}
	}
	for o, heard := range still {
		if heard {
			told[o] = true
		}
	}
}

// propose asks the log to settle what is open, where this instance leads.
func (a *Registry) propose(open []restriction.Request) {
	if !a.log.IsLeader() {
		return
	}
	for _, o := range open {
		r, err := a.log.Propose(config.Command{Kind: config.RestrictServer, Restriction: &o})
		if err != nil {
			a.cfg.Counters.Add("restrictions_not_proposed", 1)
			return // no majority now: asked again
		}
		if r.Reason != config.Applied && r.Reason != config.AlreadySettled {
			eventlog.RestrictionRejected.Log(o.ID, o.Server, o.Level, string(r.Reason))
		}
	}
}
