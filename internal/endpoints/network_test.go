package endpoints

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
	"linkpass/internal/searchconfig"
)

const (
	instanceCount = 3
	serverCount   = 8
)

var errMessageLost = errors.New("lost")

// network simulates three instances and the links between them. Messages are lost, delayed, repeated and reordered at
// random, from a seed; a link may be blocked in one direction only. The log is a single list. Its leader is the first
// instance, which can commit while it reaches another instance in both directions.
type network struct {
	nodes [instanceCount]*Registry

	mu        sync.Mutex                               // guards the fields below
	rng       *rand.Rand                               // draws the blocked links and the instance that issues a drain
	links     [instanceCount][instanceCount]*rand.Rand // one for each direction, so that draws are independent
	blocked   [instanceCount][instanceCount]bool
	log       []config.Command
	states    [instanceCount]*config.State
	endpoints [instanceCount]map[string]routing.EndpointState
}

func newNetwork(seed uint64) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 3)),
		log: []config.Command{{Kind: config.ReplaceSettings, Payload: []byte("{}")}},
	}
	for i := range instanceCount {
		n.addNode(seed, i)
	}
	return n
}

// addNode adds an instance whose list from discovery has all servers.
func (n *network) addNode(seed uint64, i int) {
	n.states[i], _ = config.NewState(&searchconfig.Config{}).Apply(n.log[0])
	n.endpoints[i] = map[string]routing.EndpointState{}
	broadcast := map[string]BroadcastFunc{}
	for j := range instanceCount {
		n.links[i][j] = rand.New(rand.NewPCG(seed, uint64(10*i+j)))
		if j != i {
			broadcast[fmt.Sprint("n", j)] = n.send(i, j)
		}
	}
	n.nodes[i] = New(Config{
		InstanceID:  fmt.Sprint("n", i),
		Incarnation: 1,
		Counters:    metrics.NewCounters(),
		Broadcast:   broadcast,
		OnUpdate:    func(update coordinator.EndpointUpdate) { n.setEndpoints(i, update.Endpoints) },
		ResolveEndpoint: func(string, config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{}, errors.New("ResolveEndpoint called, but no command added a server")
		},
	})
	n.nodes[i].Attach(nodeLog{n, i})
	update := coordinator.EndpointUpdate{Mode: routing.UpdateFull}
	for s := range serverCount {
		entry := routing.Endpoint{State: routing.Ready}
		update.Endpoints = append(update.Endpoints, coordinator.Endpoint{Name: fmt.Sprint("s", s), Endpoint: entry})
	}
	n.nodes[i].UpdateEndpoints(update)
}

func (n *network) setEndpoints(i int, endpoints []coordinator.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range endpoints {
		n.endpoints[i][e.Name] = e.State
	}
}

// serverState returns the state of a server in an instance's list.
func (n *network) serverState(i int, server string) routing.EndpointState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[i][server]
}

// blockLinks blocks links at random, and picks an instance at random.
func (n *network) blockLinks() (at int, blocked [instanceCount][instanceCount]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range instanceCount {
		for j := range instanceCount {
			n.blocked[i][j] = i != j && n.rng.Float64() < 0.4
		}
	}
	return n.rng.IntN(instanceCount), n.blocked
}

func (n *network) unblockLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = [instanceCount][instanceCount]bool{}
}

func (n *network) connected(i, j int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.blocked[i][j]
}

func (n *network) chance(i, j int, p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[i][j].Float64() < p
}

func (n *network) delay(i, j int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.links[i][j].IntN(80)) * time.Millisecond
}

// send returns the function by which one instance broadcasts to another.
func (n *network) send(i, j int) BroadcastFunc {
	return func(ctx context.Context, requests []restriction.Request) error {
		if n.chance(i, j, 0.3) {
			late := n.delay(i, j)
			go func() { // a copy that may arrive out of order; synctest.Test waits for this goroutine
				time.Sleep(late)
				_ = n.nodes[j].ReceiveRestrictions("late", requests)
			}()
		}
		if err := n.deliver(ctx, i, j, requests); err != nil {
			return err
		}
		if !n.connected(j, i) || n.chance(i, j, 0.2) {
			return errMessageLost // the requests were received, but the acknowledgement is lost
		}
		return nil
	}
}

func (n *network) deliver(ctx context.Context, i, j int, requests []restriction.Request) error {
	select {
	case <-time.After(n.delay(i, j)):
	case <-ctx.Done():
		return ctx.Err()
	}
	if !n.connected(i, j) || n.chance(i, j, 0.3) {
		return errMessageLost
	}
	return n.nodes[j].ReceiveRestrictions(fmt.Sprint("n", i), requests)
}

// replicate applies the log at each instance that the leader reaches in both directions, and returns the last result at
// the leader.
func (n *network) replicate() config.Result {
	var last config.Result
	for i := range instanceCount {
		if i != 0 && !(n.connected(0, i) && n.connected(i, 0)) {
			continue
		}
		if r, applied := n.applyLog(i); applied && i == 0 {
			last = r
		}
		n.nodes[i].LogApplied()
	}
	return last
}

// applyLog applies the commands of the log that an instance has not applied, and returns the last result if there are
// any.
func (n *network) applyLog(i int) (last config.Result, applied bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for int(n.states[i].Version()) < len(n.log) {
		n.states[i], last = n.states[i].Apply(n.log[n.states[i].Version()])
		applied = true
	}
	return last, applied
}

// commit appends a command to the log if the leader reaches a majority in both directions.
func (n *network) commit(c config.Command) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for j := 1; j < instanceCount; j++ {
		if !n.blocked[0][j] && !n.blocked[j][0] {
			n.log = append(n.log, c)
			return nil
		}
	}
	return errMessageLost
}

// nodeLog is the ReplicatedLog of one instance.
type nodeLog struct {
	n  *network
	id int
}

func (l nodeLog) State() *config.State {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	return l.n.states[l.id]
}

func (nodeLog) SavePending([]restriction.Request) error     { return nil }
func (nodeLog) LoadPending() ([]restriction.Request, error) { return nil, nil }

func (l nodeLog) IsLeader() bool { return l.id == 0 }

func (l nodeLog) Propose(_ context.Context, c config.Command) (config.Result, error) {
	time.Sleep(l.n.delay(l.id, l.id))
	if err := l.n.commit(c); err != nil {
		return config.Result{}, err
	}
	return l.n.replicate(), nil
}

func (nodeLog) SaveGone(GoneServers) error     { return nil }
func (nodeLog) LoadGone() (GoneServers, error) { return nil, nil }
