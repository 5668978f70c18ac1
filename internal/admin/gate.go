// Package admin is the operators' side of the coordinator: the one state
// machine that says whether clients are wanted, and the door at which staff and
// the platform ask for it, change it and read the figures.
package admin

import (
	"sync"

	"linkpass/internal/eventlog"
)

// State is where the coordinator stands towards its clients.
type State uint8

// The states. Only Serving takes clients; from Ending no way leads back.
const (
	Starting State = iota // no usable list yet
	Serving
	Drained      // emptied on request
	ShuttingDown // SIGTERM came
)

func (s State) String() string {
	return [...]string{Starting: "starting", Serving: "serving", Drained: "drained", ShuttingDown: "ending"}[s]
}

// Drainer are what follows the gate.
type Drainer interface {
	Drain()  // every answer is the last of its connection; idle ones are closed a little later
	Resume() // connections are kept again
}

// Readiness is the state machine of whether clients are wanted.
type Readiness struct {
	mu                    sync.Mutex
	fronts                []Drainer
	usable, drain, ending bool
}

// AddFront adds a front; it takes the gate's orders from then on.
func (g *Readiness) AddFront(f Drainer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fronts = append(g.fronts, f)
	if g.drain || g.ending {
		f.Drain()
	}
}

// State tells where the coordinator stands.
func (g *Readiness) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state()
}

func (g *Readiness) state() State {
	switch {
	case g.ending:
		return ShuttingDown
	case g.drain:
		return Drained
	case !g.usable:
		return Starting
	}
	return Serving
}

// Ready tells whether clients are wanted.
func (g *Readiness) Ready() bool { return g.State() == Serving }

// MarkUsable says that the coordinator can serve: its list is usable.
func (g *Readiness) MarkUsable() { g.change(func() { g.usable = true }) }

// Drain empties the coordinator until Activate. Twice is as once.
func (g *Readiness) Drain() State { return g.change(func() { g.drain = true }) }

// Activate takes clients again. Twice is as once; nothing leads back from the end.
func (g *Readiness) Activate() State { return g.change(func() { g.drain = false }) }

// Shutdown says that the process is to end.
func (g *Readiness) Shutdown() { g.change(func() { g.ending = true }) }

func (g *Readiness) change(apply func()) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, shut := g.state(), g.drain || g.ending
	apply()
	after := g.state()
	if now := g.drain || g.ending; now != shut {
		for _, f := range g.fronts {
			if now {
				f.Drain()
			} else {
				f.Resume()
			}
		}
	}
	if before != after {
		eventlog.ReadinessChanged.Log(before, after)
	}
	return after
}
