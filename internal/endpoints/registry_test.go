package endpoints

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"linkpass"
	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
)

const instances = 3

// network is three instances whose messages are blocked off, lost, late, repeated and out of order, by a seed; links may be blocked
// in one direction alone. The log is one list: the first instance leads it while it reaches another in both directions.
type network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	links     [instances][instances]*rand.Rand // of each direction, so that what one draws does not depend on the others
	blocked   [instances][instances]bool
	log       []config.Command
	states    [instances]*config.State
	nodes     [instances]*Registry
	endpoints [instances]map[string]linkpass.ServerState
}

var errLost = errors.New("lost")

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

func (n *network) connected(i, j int) bool { n.mu.Lock(); defer n.mu.Unlock(); return !n.blocked[i][j] }

// send makes the way from one instance to another.
func (n *network) send(i, j int) func(context.Context, []restriction.Request) error {
	return func(ctx context.Context, requests []restriction.Request) error {
		deliver := func() error {
			select {
			case <-time.After(n.delay(i, j)):
			case <-ctx.Done():
				return ctx.Err()
			}
			if !n.connected(i, j) || n.chance(i, j, 0.3) {
				return errLost
			}
			return n.nodes[j].ReceiveRestrictions(fmt.Sprint("n", i), requests)
		}
		if n.chance(i, j, 0.3) {
			late := n.delay(i, j)
			go func() { time.Sleep(late); _ = n.nodes[j].ReceiveRestrictions("late", requests) }() // a copy that comes late, and past the others
		}
		if err := deliver(); err != nil {
			return err
		}
		if !n.connected(j, i) || n.chance(i, j, 0.2) {
			return errLost // it was heard, the answer was lost
		}
		return nil
	}
}

// nodeLog is the log as an instance sees it.
type nodeLog struct {
	n  *network
	me int
}

func (v nodeLog) State() *config.State { v.n.mu.Lock(); defer v.n.mu.Unlock(); return v.n.states[v.me] }
func (v nodeLog) IsLeader() bool       { return v.me == 0 }
func (v nodeLog) Propose(c config.Command) (config.Result, error) {
	time.Sleep(v.n.delay(v.me, v.me))
	v.n.mu.Lock()
	majority := false
	for j := 1; j < instances; j++ {
		majority = majority || !v.n.blocked[0][j] && !v.n.blocked[j][0]
	}
	if !majority {
		v.n.mu.Unlock()
		return config.Result{}, errLost
	}
	v.n.log = append(v.n.log, c)
	v.n.mu.Unlock()
	r := v.n.replicate(0)
	return r, nil
}

// replicate lets the instances that the leader reaches apply what they lack, and gives the last result at one.
func (n *network) replicate(at int) (last config.Result) {
	for i := range instances {
		if i != 0 && !(n.connected(0, i) && n.connected(i, 0)) {
			continue
		}
		n.mu.Lock()
		for int(n.states[i].Version()) < len(n.log) {
			var r config.Result
			if n.states[i], r = n.states[i].Apply(n.log[n.states[i].Version()]); i == at {
				last = r
			}
		}
		n.mu.Unlock()
		n.nodes[i].LogApplied()
	}
	return last
}

func (n *network) state(i int, server string) linkpass.ServerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[i][server]
}

func newNetwork(seed uint64) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 3)), log: []config.Command{{Kind: config.ReplaceSettings, Payload: []byte("{}")}}}
	for i := range instances {
		n.states[i], _ = config.NewState(&searchconfig.Config{}).Apply(n.log[0])
		n.endpoints[i] = map[string]linkpass.ServerState{}
		broadcast := map[string]func(context.Context, []restriction.Request) error{}
		for j := range instances {
			n.links[i][j] = rand.New(rand.NewPCG(seed, uint64(10*i+j)))
			if j != i {
				broadcast[fmt.Sprint("n", j)] = n.send(i, j)
			}
		}
		n.nodes[i] = New(Config{InstanceID: fmt.Sprint("n", i), Incarnation: 1, Counters: metrics.NewCounters(), Broadcast: broadcast, OnUpdate: func(l coordinator.EndpointUpdate) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, s := range l.Endpoints {
				n.endpoints[i][s.Name] = s.State
			}
		}, ResolveEndpoint: func(string, config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{}, errors.New("none was added")
		}})
		n.nodes[i].Attach(nodeLog{n, i})
		l := coordinator.EndpointUpdate{Mode: linkpass.ListFull}
		for s := range 8 {
			l.Endpoints = append(l.Endpoints, coordinator.Endpoint{Name: fmt.Sprint("s", s), Entry: linkpass.Entry{State: linkpass.Ready}})
		}
		n.nodes[i].UpdateEndpoints(l)
	}
	return n
}

// Whatever the network does, a drain holds at once where it is ordered and within a second wherever it can be heard directly;
// and when all is well again every order is settled and all instances are alike.
func TestDrainReachesReachableInstancesOverFaultyNetwork(t *testing.T) {
	_ = eventlog.SetLevel("store", "off")
	defer func() { _ = eventlog.SetLevel("store", "info") }()
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(seed)
			ctx, stop := context.WithCancel(context.Background())
			var running sync.WaitGroup
			for _, a := range n.nodes {
				running.Go(func() { a.Run(ctx) })
			}
			for s := range 8 {
				n.mu.Lock()
				for i := range instances {
					for j := range instances {
						n.blocked[i][j] = i != j && n.rng.Float64() < 0.4
					}
				}
				at, blocked := n.rng.IntN(instances), n.blocked
				n.mu.Unlock()
				server := fmt.Sprint("s", s)
				if _, err := n.nodes[at].Restrict(server, restriction.Draining, false); err != nil {
					t.Fatal(err)
				}
				if n.state(at, server) != linkpass.Draining {
					t.Fatalf("seed %d: %s is not drained where it was ordered", seed, server)
				}
				time.Sleep(time.Second)
				for j := range instances {
					if !blocked[at][j] && n.state(j, server) != linkpass.Draining {
						t.Errorf("seed %d: n%d can hear n%d and does not drain %s after a second", seed, j, at, server)
					}
				}
			}
			n.mu.Lock()
			n.blocked = [instances][instances]bool{}
			n.mu.Unlock()
			time.Sleep(5 * time.Second)
			n.replicate(0)
			hash := ""
			for i, a := range n.nodes {
				h, err := n.states[i].Hash()
				if pending := a.PendingRestrictions(); err != nil || len(pending) > 0 || hash != "" && h != hash {
					t.Errorf("seed %d: n%d has %v pending, state %s, %v", seed, i, pending, h, err)
				}
				hash = h
				for s := range 8 {
					if server := fmt.Sprint("s", s); n.state(i, server) != linkpass.Draining {
						t.Errorf("seed %d: %s does not drain at n%d in the end", seed, server, i)
					}
				}
			}
			stop()
			running.Wait()
		})
	}
}
