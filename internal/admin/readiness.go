// Package admin decides whether a coordinator accepts clients, and serves the admin listener, where operators and the
// platform read and change that.
//
// Readiness owns the state. The package does not stop anything itself: the fronts drain when Readiness tells them to, and
// the program ends when it has seen the signal. The operators' larger API is package adminapi.
package admin

import (
	"sync"

	"linkpass/internal/eventlog"
)

// State is whether the coordinator accepts clients, and if not, why.
type State uint8

// The states. Only Serving accepts clients; ShuttingDown is final.
const (
	Starting     State = iota // there is no usable endpoint list yet
	Serving                   // clients are accepted
	Drained                   // drained on request
	ShuttingDown              // SIGTERM was received
)

// stateNames are the states on the wire.
var stateNames = [...]string{Starting: "starting", Serving: "serving", Drained: "drained", ShuttingDown: "ending"}

// String returns the state's name on the wire.
func (s State) String() string { return stateNames[s] }

// Drainer is a front that follows the state.
type Drainer interface {
	Drain()  // every response is the last of its connection; idle connections are closed a little later
	Resume() // connections are kept alive again
}

// Readiness is the state machine of whether clients are accepted. The zero value is Starting and ready to use; its
// methods are safe for concurrent use.
type Readiness struct {
	mu           sync.Mutex // guards the fields below, and keeps the calls of Drainers in order
	fronts       []Drainer
	usable       bool // once there was a usable endpoint list
	drained      bool // by request
	shuttingDown bool
}

// AddFront adds a front, which follows the state from now on.
func (r *Readiness) AddFront(f Drainer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fronts = append(r.fronts, f)
	if r.draining() {
		f.Drain()
	}
}

// State returns the state.
func (r *Readiness) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state()
}

// Ready tells whether clients are accepted.
func (r *Readiness) Ready() bool { return r.State() == Serving }

// MarkUsable records that there is a usable endpoint list.
func (r *Readiness) MarkUsable() { r.update(func() { r.usable = true }) }

// Drain drains the coordinator until Activate. It is idempotent.
func (r *Readiness) Drain() State { return r.update(func() { r.drained = true }) }

// Activate ends a drain. It is idempotent, and does not end a shutdown.
func (r *Readiness) Activate() State { return r.update(func() { r.drained = false }) }

// Shutdown begins the shutdown, which is final.
func (r *Readiness) Shutdown() { r.update(func() { r.shuttingDown = true }) }

// state returns the state; mu is locked.
func (r *Readiness) state() State {
	switch {
	case r.shuttingDown:
		return ShuttingDown
	case r.drained:
		return Drained
	case !r.usable:
		return Starting
	}
	return Serving
}

// draining tells whether the fronts drain; mu is locked. While the state is Starting they do not: a client that connected early
// may keep its connection.
func (r *Readiness) draining() bool { return r.drained || r.shuttingDown }

// update applies a change, makes the fronts follow and returns the state after it.
func (r *Readiness) update(apply func()) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	stateBefore, drainingBefore := r.state(), r.draining()
	apply()
	if r.draining() != drainingBefore {
		r.notifyFronts()
	}
	stateAfter := r.state()
	if stateAfter != stateBefore {
		eventlog.ReadinessChanged.Log(stateBefore, stateAfter)
	}
	return stateAfter
}

// notifyFronts makes all fronts drain or resume; mu is locked.
func (r *Readiness) notifyFronts() {
	for _, f := range r.fronts {
		if r.draining() {
			f.Drain()
		} else {
			f.Resume()
		}
	}
}
