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
	orderTimeout     = 15 * time.Second // limit for a leader to accept an order, and for a coordinator to apply it
	orderInterval    = 5 * time.Millisecond
	stateInterval    = 500 * time.Microsecond
	divergedTimeout  = 5 * time.Second
	divergedInterval = 10 * time.Millisecond
)

// drainLatency is the time from the order of a drain until it took effect, in microseconds.
type drainLatency struct {
	localUS      int64 // at the coordinator where it was ordered
	everywhereUS int64 // at the last of the running coordinators
	lateHolders  int64 // number of coordinators where it took longer than drainObjective
}

// stateTimeoutError says that a coordinator did not have a server in the wanted state within orderTimeout.
type stateTimeoutError struct {
	server, state string
	node          int
}

func (e *stateTimeoutError) Error() string {
	return fmt.Sprintf("experiment: server %s is not %s at coordinator %d after %s", e.server, e.state, e.node, orderTimeout)
}

// orderAtLeader sends a request to the coordinators in turn until the leader accepts it. It fails with the last error
// if none accepts it within orderTimeout.
func (w *world) orderAtLeader(request adminapi.ServerRequest) (err error) {
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(orderInterval) {
		for _, n := range w.nodes {
			if _, err = n.program.ChangeServer(context.Background(), request); err == nil {
				return nil
			}
		}
	}
	return fmt.Errorf("experiment: no coordinator accepted %s of server %s: %w", request.Action, request.Server, err)
}

// drain orders a drain at coordinator at and waits until it has taken effect at all running coordinators, which are the
// first ones of the world. It returns a stateTimeoutError if one of them does not apply it within orderTimeout.
func (w *world) drain(at, running int, server string, force bool) (latency drainLatency, err error) {
	began := time.Now()
	request := adminapi.ServerRequest{Server: server, Action: actionDrain, Force: force}
	if _, err := w.nodes[at].program.ChangeServer(context.Background(), request); err != nil {
		return latency, fmt.Errorf("experiment: drain server %s at coordinator %d: %w", server, at, err)
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

// undrain returns a server to service and waits until all coordinators have applied it.
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

// awaitState polls until a coordinator's router has a server in a state, and returns the microseconds since began. It
// returns false if that takes longer than orderTimeout.
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

// countDiverged waits until all running coordinators have the same replicated state, for divergedTimeout at most, and
// returns the number of those that differ from the first. Orders that are not settled yet are part of the state.
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

// describeState formats a coordinator's replicated state for comparison: its version, its hash and the pending orders.
func (n *node) describeState() (string, error) {
	state, err := n.program.ReplicatedState()
	var pending []string
	for _, order := range state.Pending {
		pending = append(pending, order.ID.String())
	}
	return fmt.Sprint(state.Version, state.Hash, strings.Join(pending, " ")), err
}
