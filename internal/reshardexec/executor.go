// Package reshardexec executes what the resharding controller decides. It polls the servers over HTTP, which sends them
// their assignments and returns the status of their shards, hands the reports to the controller, and writes the
// controller's actions to the replicated store.
//
// It owns the connections to the servers and their latest reports. It makes no decision of its own, persists nothing
// beside the store, and works only while its instance leads the store.
package reshardexec

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
	"linkpass/internal/searchconfig"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/resharding"
	"linkpass/internal/store"
)

// Store is the part of the replicated store that the executor uses.
type Store interface {
	// ConfirmLeader returns the state, which has the shard maps, and the term after a quorum has confirmed that this
	// instance leads the store. Otherwise it returns an error: assignments from older shard maps would make servers drop
	// their shards.
	ConfirmLeader(ctx context.Context) (store.LeaderState, error)
	// AdvanceShardMap applies a command to the shard map of an index.
	AdvanceShardMap(ctx context.Context, index string, c shardmap.Command) error
}

// Config has the dependencies and settings of an Executor.
type Config struct {
	Store        Store
	Limits       resharding.Limits
	PollInterval time.Duration                  // between two rounds of polls
	Timeout      time.Duration                  // of one poll
	Now          func() time.Duration           // the clock of resharding.Input.Now
	QueryTotals  func() (ended, rejected int64) // since the start of the process
	Counters     *metrics.Counters
}

// Thresholds of the overload detector.
const (
	overloadRejectionRatio = 0.02 // rejected to ended queries
	overloadRecoveryPolls  = 5    // poll intervals
	overloadMinSamples     = 20   // ended queries
)

// Executor executes the controller's actions. Only one goroutine may call Run; the other methods are safe for
// concurrent use.
type Executor struct {
	cfg Config

	mu            sync.Mutex // guards endpoints, limitsChanged, cfg.Limits and cfg.PollInterval
	endpoints     map[string]coordinator.Endpoint
	limitsChanged bool // SetLimits was called and Run has not applied the limits yet

	// Owned by Run.
	controller *resharding.Controller // nil while this instance does not lead
	overload   resharding.OverloadDetector
	poller     serverPoller
	failures   eventlog.RateLimited // of polls and actions together
}

// New returns an executor that does nothing until Run.
func New(c Config) *Executor {
	e := &Executor{
		cfg:       c,
		endpoints: map[string]coordinator.Endpoint{},
		overload: resharding.OverloadDetector{
			RejectionRatio: overloadRejectionRatio,
			RecoveryPeriod: overloadRecoveryPolls * c.PollInterval,
			MinSamples:     overloadMinSamples,
		},
	}
	e.poller = serverPoller{
		timeout:  c.Timeout,
		now:      c.Now,
		counters: c.Counters,
		failures: &e.failures,
		conns:    map[string]*serverConn{},
	}
	return e
}

// UpdateEndpoints applies an update of the endpoint list.
func (e *Executor) UpdateEndpoints(update coordinator.EndpointUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if update.Mode != routing.UpdateDelta {
		clear(e.endpoints)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == routing.Removed {
			delete(e.endpoints, endpoint.Name)
		} else {
			e.endpoints[endpoint.Name] = endpoint
		}
	}
}

// SetLimits changes the limits and the poll interval; Run applies them from its next round on.
func (e *Executor) SetLimits(limits resharding.Limits, pollInterval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.Limits = limits
	e.cfg.PollInterval = pollInterval
	e.limitsChanged = true
}

// currentLimits returns the limits, the poll interval and whether they have changed since the last call.
func (e *Executor) currentLimits() (limits resharding.Limits, pollInterval time.Duration, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed = e.limitsChanged
	e.limitsChanged = false
	return e.cfg.Limits, e.cfg.PollInterval, changed
}

// currentEndpoints returns a copy of the endpoint list.
func (e *Executor) currentEndpoints() map[string]coordinator.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.endpoints)
}

// Run polls the servers and executes the controller's actions once per poll interval while this instance leads the
// store. It returns when the context ends.
func (e *Executor) Run(ctx context.Context) {
	limits, pollInterval, _ := e.currentLimits()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	defer e.stepDown()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if newLimits, newInterval, changed := e.currentLimits(); changed {
			ticker.Reset(newInterval)
			limits = newLimits
			e.controller = nil // the next one continues from the shard maps, as after a change of leader
		}
		leader, err := e.cfg.Store.ConfirmLeader(ctx)
		if err != nil {
			e.stepDown()
			continue
		}
		if e.controller == nil {
			eventlog.ReshardingLeader.Log()
			e.controller = resharding.New(limits)
			e.poller.resetReports()
		}
		e.runRound(ctx, leader)
	}
}

// stepDown releases the connections and the controller, which only the leader needs.
func (e *Executor) stepDown() {
	e.poller.closeConns()
	e.controller = nil
}

// runRound polls every server once, then executes the actions that the controller decides on.
func (e *Executor) runRound(ctx context.Context, leader store.LeaderState) {
	settings := leader.State.Settings()
	shardMaps := currentShardMaps(settings)
	if len(shardMaps) == 0 {
		return
	}
	endpoints := e.currentEndpoints()
	order := Order{Term: leader.Term, Revision: settings.Revision}
	e.poller.pollAll(ctx, endpoints, newLease(leader, e.cfg.Store.ConfirmLeader), order, assignmentsByServer(shardMaps))
	for _, action := range e.controller.NextActions(e.controllerInput(shardMaps, endpoints)) {
		if ctx.Err() != nil {
			return
		}
		e.execute(ctx, action)
	}
}

// currentShardMaps returns the shard maps of the indices that have one.
func currentShardMaps(config *searchconfig.Config) map[string]*shardmap.Map {
	shardMaps := map[string]*shardmap.Map{}
	for name := range config.Indices {
		if m := config.ShardMap(name); m != nil {
			shardMaps[name] = m
		}
	}
	return shardMaps
}

// assignmentsByServer returns each server's assignments of all indices, in the order of the indices' names.
func assignmentsByServer(shardMaps map[string]*shardmap.Map) map[string][]resharding.Assignment {
	out := map[string][]resharding.Assignment{}
	for _, index := range slices.Sorted(maps.Keys(shardMaps)) {
		for server, assignment := range resharding.Assignments(index, shardMaps[index]) {
			out[server] = append(out[server], assignment)
		}
	}
	return out
}

// controllerInput returns the input for the controller's decisions after a round of polls.
func (e *Executor) controllerInput(shardMaps map[string]*shardmap.Map,
	endpoints map[string]coordinator.Endpoint) resharding.Input {
	in := resharding.Input{
		Now:     e.cfg.Now(),
		Maps:    shardMaps,
		Reports: e.poller.reports,
		Healthy: map[string]bool{},
	}
	for name, endpoint := range endpoints {
		in.Healthy[name] = endpoint.State == routing.Ready && !e.poller.failing[name]
	}
	ended, rejected := e.cfg.QueryTotals()
	in.Overloaded = e.overload.Observe(in.Now, ended, rejected)
	return in
}

// execute proposes one action to the store. An action on an outdated version is dropped: the next round decides again,
// on the current version.
func (e *Executor) execute(ctx context.Context, action resharding.Action) {
	plan, step := actionStep(action.Command)
	err := e.cfg.Store.AdvanceShardMap(ctx, action.Index, action.Command)
	switch {
	case err == nil:
		e.cfg.Counters.Add("resharding_"+step, 1)
		eventlog.ReshardingStep.Log(action.Index, plan, step, action.Reason)
	case errors.Is(err, shardmap.ErrVersionConflict), errors.Is(err, store.ErrConflict):
		e.cfg.Counters.Add("resharding_conflicts", 1)
	default:
		e.cfg.Counters.Add("resharding_steps_failed", 1)
		e.failures.Log(eventlog.ReshardingStepFailed, action.Index, plan, step, err)
	}
}

// actionStep returns the plan that a command changes and the step that it takes the plan to.
func actionStep(c shardmap.Command) (plan shardmap.PlanID, step string) {
	switch {
	case c.Advance != nil:
		return c.Advance.Plan, string(c.Advance.Step)
	case c.Abandon != nil:
		return c.Abandon.Plan, string(shardmap.Abandoned)
	}
	return 0, ""
}
