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
	changeTimeout           = 15 * time.Second // for a leader to accept a change, and for a coordinator to apply it
	changeRetryInterval     = 5 * time.Millisecond
	statePollInterval       = 500 * time.Microsecond
	convergenceTimeout      = 5 * time.Second
	convergencePollInterval = 10 * time.Millisecond
)

// drainLatency is the time from the request of a drain until it took effect, in microseconds.
type drainLatency struct {
	localUS          int64 // at the coordinator that got the request
	everywhereUS     int64 // at the last of the running coordinators
	lateCoordinators int64 // number of coordinators where it took longer than drainObjective
}

// stateTimeoutError says that a coordinator did not have a server in the wanted state within changeTimeout.
type stateTimeoutError struct {
	server, state string
	node          int
}

func (e *stateTimeoutError) Error() string {
	return fmt.Sprintf("experiment: server %s is not %s at coordinator %d after %s", e.server, e.state, e.node, changeTimeout)
}

// changeServerAtLeader sends a request to the coordinators in turn until the leader accepts it. It fails with the last
// error if none accepts it within changeTimeout.
func (w *world) changeServerAtLeader(request adminapi.ServerRequest) (err error) {
	for end := time.Now().Add(changeTimeout); time.Now().Before(end); time.Sleep(changeRetryInterval) {
		for _, n := range w.nodes {
			if _, err = n.program.ChangeServer(context.Background(), request); err == nil {
				return nil
			}
		}
	}
	return fmt.Errorf("experiment: no coordinator accepted %s of server %s: %w", request.Action, request.Server, err)
}

// drain requests a drain at the coordinator at position at. It waits until the drain has taken effect at all running
// coordinators, which are the first of the world. It returns a stateTimeoutError if one of them does not apply the
// drain within changeTimeout.
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
			latency.lateCoordinators++
		}
	}
	return latency, nil
}

// undrain returns a server to service and waits until all coordinators have applied it.
func (w *world) undrain(server string) error {
	if err := w.changeServerAtLeader(adminapi.ServerRequest{Server: server, Action: actionUndrain}); err != nil {
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
// returns false if that takes longer than changeTimeout.
func (n *node) awaitState(server, state string, began time.Time) (us int64, ok bool) {
	for time.Since(began) < changeTimeout {
		if servers, err := n.program.Servers(); err == nil {
			for _, s := range servers {
				if s.Name == server && s.State == state {
					return time.Since(began).Microseconds(), true
				}
			}
		}
		time.Sleep(statePollInterval)
	}
	return 0, false
}

// countDiverged waits until all running coordinators have the same replicated state, for convergenceTimeout at
// most, and returns the number of those that differ from the first. Pending restrictions are part of the state.
func (w *world) countDiverged(running int) (diverged int, err error) {
	for end := time.Now().Add(convergenceTimeout); ; time.Sleep(convergencePollInterval) {
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

// describeState formats a coordinator's replicated state for comparison: its version, its hash and the pending
// restrictions.
func (n *node) describeState() (string, error) {
	state, err := n.program.ReplicatedState()
	var pending []string
	for _, restriction := range state.Pending {
		pending = append(pending, restriction.ID.String())
	}
	return fmt.Sprint(state.Version, state.Hash, strings.Join(pending, " ")), err
}
