package experiment

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"linkpass/internal/adminapi"
	"linkpass/internal/config"
	"linkpass/internal/endpoints"
	"linkpass/internal/store"
)

// Guards against a drain that needs a majority of the coordinators, and against other changes of a server that take
// effect without one.
func TestDrainWithAndWithoutMajority(t *testing.T) {
	isolate(t)
	w := startCluster(t, 13, 3)
	orderByLeader(t, w, "weight", "s-03") // so that the coordinators agree on a first document
	checkDrainAtEveryNode(t, w)
	checkOrderOfStrangerIsRejected(t, w)
	checkLastReplicaIsKept(t, w)
	checkSameState(t, w)
	w.stopNodes(1)
	checkDrainWithoutMajority(t, w.nodes[0])
}

func order(n *node, action, server string, force bool) error {
	_, err := n.program.ChangeServer(context.Background(), adminapi.ServerRequest{Server: server, Action: action, Force: force})
	return err
}

// orderByLeader sends an order to the coordinators in turn until the leader accepts it.
func orderByLeader(t *testing.T, w *world, action, server string) {
	t.Helper()
	for i := 0; ; i++ {
		var other *store.NotLeaderError
		if err := order(w.nodes[i%3], action, server, false); err == nil {
			return
		} else if !errors.As(err, &other) && !errors.Is(err, store.ErrNoLeader) || t.Context().Err() != nil {
			t.Fatalf("%s server %s: %v", action, server, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// checkDrainAtEveryNode checks that a drain takes effect at the coordinator where it is ordered, then at all.
func checkDrainAtEveryNode(t *testing.T, w *world) {
	t.Helper()
	for i, n := range w.nodes {
		if err := order(n, "drain", "s-01", false); err != nil {
			t.Fatalf("drain server s-01 at coordinator %d: %v", i, err)
		}
		awaitServerState(t, w.nodes[i:i+1], "s-01", "draining", false)
		awaitServerState(t, w.nodes, "s-01", "draining", true)
		orderByLeader(t, w, "undrain", "s-01")
		awaitServerState(t, w.nodes, "s-01", "in_service", true)
	}
}

// checkOrderOfStrangerIsRejected checks that an order whose origin is not a member is counted and has no effect.
func checkOrderOfStrangerIsRejected(t *testing.T, w *world) {
	t.Helper()
	stranger := `[{"id":{"origin":{"instance":"nobody","boot":1},"seq":1},"server":"s-04","kind":"draining","force":true}]`
	if status, body, err := w.call(w.nodes[0], "POST", "/_linkpass/orders?from=n1", stranger); err != nil || status != 200 {
		t.Errorf("order of a stranger: status = %d, want 200, body %s, error %v", status, body, err)
	}
	if n := w.nodes[0].program.Counters().Get("restrictions_malformed"); n != 1 {
		t.Errorf("restrictions_malformed = %d, want 1", n)
	}
	awaitServerState(t, w.nodes, "s-04", "in_service", true) // an unknown instance cannot drain a server
}

// checkLastReplicaIsKept checks that the last replica in service is not drained, and that a removed server cannot be
// drained, even with force.
func checkLastReplicaIsKept(t *testing.T, w *world) {
	t.Helper()
	if err := order(w.nodes[0], "drain", "s-01", false); err != nil {
		t.Fatal(err)
	}
	awaitServerState(t, w.nodes, "s-01", "draining", true)
	var refused *endpoints.RejectedError
	if err := order(w.nodes[1], "drain", "s-02", false); !errors.As(err, &refused) || refused.Reason != config.NoReplicaLeft {
		t.Errorf("drain of the last replica: error %v, want a RejectedError with reason %v", err, config.NoReplicaLeft)
	}
	if err := order(w.nodes[1], "remove", "s-02", true); err != nil {
		t.Fatal(err)
	}
	awaitServerState(t, w.nodes, "s-02", stateRemoved, true)
	if err := order(w.nodes[2], "drain", "s-02", true); !errors.As(err, &refused) || refused.Reason != config.ServerIDRetired {
		t.Errorf("drain of a removed server: error %v, want a RejectedError with reason %v", err, config.ServerIDRetired)
	}
}

// checkSameState checks that all coordinators have the same replicated state.
func checkSameState(t *testing.T, w *world) {
	t.Helper()
	hashes := map[string]bool{}
	for _, n := range w.nodes {
		a, err := n.program.ReplicatedState()
		if err != nil {
			t.Fatal(err)
		}
		hashes[fmt.Sprint(a.Version, a.Hash)] = true
	}
	if len(hashes) > 1 {
		t.Errorf("replicated states (version and hash) differ between the coordinators: %v", hashes)
	}
}

// checkDrainWithoutMajority checks that a drain takes effect at once and stays pending, and that an undrain fails.
func checkDrainWithoutMajority(t *testing.T, n *node) {
	t.Helper()
	if err := order(n, "drain", "s-03", false); err != nil {
		t.Fatal(err)
	}
	awaitServerState(t, []*node{n}, "s-03", "draining", false)
	if err := order(n, "undrain", "s-03", false); err == nil {
		t.Error("undrain without a majority succeeded, want an error")
	}
	if a, err := n.program.ReplicatedState(); err != nil || len(a.Pending) != 1 {
		t.Errorf("pending orders = %+v, want one, error %v", a.Pending, err)
	}
	awaitServerState(t, []*node{n}, "s-03", "draining", false)
}
