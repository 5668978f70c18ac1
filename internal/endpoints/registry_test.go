package endpoints

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"linkpass/internal/config/restriction"
	"linkpass/internal/eventlog"
	"linkpass/internal/routing"
)

// A drain takes effect at once at the instance where it is issued, and within a second at each instance to which the
// link from there is not blocked, even if the log has no majority. After the links have recovered, every request is
// settled and all instances have the same state.
func TestDrainReachesReachableInstancesOverFaultyNetwork(t *testing.T) {
	_ = eventlog.SetLevel("store", "off")
	defer func() { _ = eventlog.SetLevel("store", "info") }()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(seed)
				ctx, stop := context.WithCancel(context.Background())
				var running sync.WaitGroup
				for _, node := range n.nodes {
					running.Go(func() { node.Run(ctx) })
				}
				for s := range serverCount {
					checkDrain(t, n, fmt.Sprint("s", s))
				}
				n.unblockLinks()
				time.Sleep(5 * time.Second)
				n.replicate()
				checkConverged(t, n)
				stop()
				running.Wait()
			})
		})
	}
}

// checkDrain drains a server at a random instance while random links are blocked, and checks where it drains.
func checkDrain(t *testing.T, n *network, server string) {
	t.Helper()
	at, blocked := n.blockLinks()
	if _, err := n.nodes[at].Restrict(server, restriction.Draining, false); err != nil {
		t.Fatal(err)
	}
	if n.serverState(at, server) != routing.Draining {
		t.Fatalf("%s is not draining at n%d, where the drain was issued", server, at)
	}
	time.Sleep(time.Second)
	for j := range instanceCount {
		if !blocked[at][j] && n.serverState(j, server) != routing.Draining {
			t.Errorf("n%d, which is reachable from n%d, does not drain %s 1 s after the drain was issued", j, at, server)
		}
	}
}

// checkConverged checks that all requests are settled, that all instances have the same state, and that all servers
// are draining.
func checkConverged(t *testing.T, n *network) {
	t.Helper()
	first := ""
	for i, node := range n.nodes {
		hash, err := n.states[i].Hash()
		if err != nil {
			t.Error(err)
		}
		if pending := node.PendingRestrictions(); len(pending) > 0 {
			t.Errorf("n%d has the pending requests %v, want none", i, pending)
		}
		if i == 0 {
			first = hash
		} else if hash != first {
			t.Errorf("state hash of n%d = %s, want %s, that of n0", i, hash, first)
		}
		for s := range serverCount {
			if server := fmt.Sprint("s", s); n.serverState(i, server) != routing.Draining {
				t.Errorf("%s is not draining at n%d after the links have recovered", server, i)
			}
		}
	}
}
