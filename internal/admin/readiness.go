// Package admin decides whether a coordinator accepts clients, and serves the admin listener, through which operators
// and the platform read and change that state.
//
// Readiness owns the state. The package stops nothing itself: Readiness tells the fronts to drain, and the program
// exits on its own after a signal. Package adminapi is the larger API for operators.
package admin

import (
	"sync"

	"linkpass/internal/eventlog"
)

// State says whether the coordinator accepts clients and, if not, why. The zero value is Starting.
type State uint8

// The states. Only Serving accepts clients; ShuttingDown is final.
const (
	Starting     State = iota // there is no usable endpoint list yet
	Serving                   // clients are accepted
	Drained                   // drained on request
	ShuttingDown              // SIGTERM was received
)

// stateNames are the names of the states in responses and log lines.
var stateNames = [...]string{Starting: "starting", Serving: "serving", Drained: "drained", ShuttingDown: "ending"}

// String returns the state's name as used in responses and log lines.
func (s State) String() string { return stateNames[s] }

// Drainer is a front that drains and resumes with the state. Readiness calls it with its mutex locked, so the methods
// must not call Readiness.
type Drainer interface {
	Drain()  // from now on, each response closes its connection; idle connections are closed after a grace period
	Resume() // connections are kept alive again
}

// Readiness is the state machine that decides whether clients are accepted. The zero value is in state Starting and
// ready to use. Its methods are safe for concurrent use.
type Readiness struct {
	mu              sync.Mutex // guards the fields below; held during calls to Drainers, so these come in order
	fronts          []Drainer
	endpointsUsable bool // there has been a usable endpoint list; never reset
	drained         bool // on request, until Activate
	shuttingDown    bool // never reset
}

// AddFront registers a front, which drains and resumes with the state from now on. If the coordinator drains already,
// the front is drained at once.
func (r *Readiness) AddFront(f Drainer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fronts = append(r.fronts, f)
	if r.draining() {
		f.Drain()
	}
}

// State returns the current state.
func (r *Readiness) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state()
}

// Ready reports whether clients are accepted.
func (r *Readiness) Ready() bool { return r.State() == Serving }

// MarkEndpointsUsable records that there is a usable endpoint list. It is idempotent and ends the state Starting.
func (r *Readiness) MarkEndpointsUsable() { r.update(func() { r.endpointsUsable = true }) }

// Drain drains the coordinator until Activate and returns the state after that. It is idempotent.
func (r *Readiness) Drain() State { return r.update(func() { r.drained = true }) }

// Activate ends a drain and returns the state after that. It is idempotent and does not end a shutdown.
func (r *Readiness) Activate() State { return r.update(func() { r.drained = false }) }

// Shutdown sets the state to ShuttingDown, which is final.
func (r *Readiness) Shutdown() { r.update(func() { r.shuttingDown = true }) }

// state returns the current state. The caller holds mu.
func (r *Readiness) state() State {
	switch {
	case r.shuttingDown:
		return ShuttingDown
	case r.drained:
		return Drained
	case !r.endpointsUsable:
		return Starting
	}
	return Serving
}

// draining reports whether the fronts drain. The caller holds mu. While the state is Starting they do not drain:
// a client that connected early may keep its connection.
func (r *Readiness) draining() bool { return r.drained || r.shuttingDown }

// update applies a change, notifies the fronts if draining changed, logs a change of the state and returns the new
// state.
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

// notifyFronts makes all fronts drain or resume. The caller holds mu.
func (r *Readiness) notifyFronts() {
	for _, f := range r.fronts {
		if r.draining() {
			f.Drain()
		} else {
			f.Resume()
		}
	}
}
