package experiment

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"linkpass/internal/adminapi"
)

// Actions and states of a server in the admin API.
const (
	actionDrain   = "drain"
	actionUndrain = "undrain"
	actionWeight  = "weight"

	serverDraining  = "draining"
	serverInService = "in_service"
)

const (
	orderTimeout     = 15 * time.Second // for a leader to take an order, and for a coordinator to apply it
	orderInterval    = 5 * time.Millisecond
	stateInterval    = 500 * time.Microsecond
	divergedTimeout  = 5 * time.Second
	divergedInterval = 10 * time.Millisecond
)

// drainLatency is when a drain held, in microseconds since its order.
type drainLatency struct {
	localUS      int64 // where it was ordered
	everywhereUS int64 // at all coordinators that run
	lateHolders  int64 // coordinators where it held after drainObjective
}

// stateTimeoutError says that a coordinator did not apply an order in time.
type stateTimeoutError struct {
	server, state string
	node          int
}

func (e *stateTimeoutError) Error() string {
	return fmt.Sprintf("experiment: %s is not %s at coordinator %d after %s", e.server, e.state, e.node, orderTimeout)
}

// orderAtLeader gives an order at every coordinator in turn until the leader takes it.
func (w *world) orderAtLeader(request adminapi.ServerRequest) (err error) {
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(orderInterval) {
		for _, n := range w.nodes {
			if _, err = n.program.ChangeServer(context.Background(), request); err == nil {
				return nil
			}
		}
	}
	return fmt.Errorf("experiment: no coordinator took %s of %s: %w", request.Action, request.Server, err)
}

// drain orders a drain at a coordinator and waits until it holds at all that run.
func (w *world) drain(at, running int, server string, force bool) (latency drainLatency, err error) {
	began := time.Now()
	request := adminapi.ServerRequest{Server: server, Action: actionDrain, Force: force}
	if _, err := w.nodes[at].program.ChangeServer(context.Background(), request); err != nil {
		return latency, fmt.Errorf("experiment: drain %s at coordinator %d: %w", server, at, err)
	}
	took, ok := make([]int64, running), make([]bool, running)
	var waiting sync.WaitGroup
	for i, n := range w.nodes[:running] {
		waiting.Go(func() { took[i], ok[i] = n.awaitState(server, serverDraining, began) })
	}
	waiting.Wait()
	latency.localUS = took[at]
	for i, us := range took {
		if !ok[i] {
			return latency, &stateTimeoutError{server, serverDraining, i}
		}
		latency.everywhereUS = max(latency.everywhereUS, us)
		if us > drainObjective.Microseconds() {
			latency.lateHolders++
		}
	}
	return latency, nil
}

// undrain brings a server back at all coordinators.
func (w *world) undrain(server string) error {
	if err := w.orderAtLeader(adminapi.ServerRequest{Server: server, Action: actionUndrain}); err != nil {
		return err
	}
	for i, n := range w.nodes {
		if _, ok := n.awaitState(server, serverInService, time.Now()); !ok {
			return &stateTimeoutError{server, serverInService, i}
		}
	}
	return nil
}

// awaitState polls until the router of a coordinator has a server in a state, and returns the microseconds since
// began; it is false after orderTimeout.
func (n *node) awaitState(server, state string, began time.Time) (us int64, ok bool) {
	for time.Since(began) < orderTimeout {
		if servers, err := n.program.Servers(); err == nil {
			for _, s := range servers {
				if s.Name == server && s.State == state {
					return time.Since(began).Microseconds(), true
				}
			}
		}
		time.Sleep(stateInterval)
	}
	return 0, false
}

// countDiverged waits until the coordinators that run have the same replicated state, divergedTimeout at most, and
// counts those that differ from the first. Orders that are not settled are part of the state.
func (w *world) countDiverged(running int) (diverged int, err error) {
	for end := time.Now().Add(divergedTimeout); ; time.Sleep(divergedInterval) {
		diverged = 0
		for _, n := range w.nodes[1:running] {
			same, err := sameState(n, w.nodes[0])
			if err != nil {
				return diverged, err
			}
			if !same {
				diverged++
			}
		}
		if diverged == 0 || time.Now().After(end) {
			return diverged, nil
		}
	}
}

func sameState(a, b *node) (bool, error) {
	stateA, err := a.describeState()
	if err != nil {
		return false, err
	}
	stateB, err := b.describeState()
	return stateA == stateB, err
}

// describeState words a coordinator's replicated state for comparison.
func (n *node) describeState() (string, error) {
	state, err := n.program.ReplicatedState()
	var pending []string
	for _, order := range state.Pending {
		pending = append(pending, order.ID.String())
	}
	return fmt.Sprint(state.Version, state.Hash, strings.Join(pending, " ")), err
}
