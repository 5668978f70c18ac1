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
	changeServerAtLeader(t, w, "weight", "s-03") // so that the coordinators agree on a first document
	checkDrainAtEveryNode(t, w)
	checkRestrictionOfUnknownInstanceIsRejected(t, w)
	checkLastReplicaIsKept(t, w)
	checkSameState(t, w)
	w.stopNodes(1)
	checkDrainWithoutMajority(t, w.nodes[0])
}

func changeServer(n *node, action, server string, force bool) error {
	_, err := n.program.ChangeServer(context.Background(), adminapi.ServerRequest{Server: server, Action: action, Force: force})
	return err
}

// changeServerAtLeader sends a request to the coordinators in turn until the leader accepts it.
func changeServerAtLeader(t *testing.T, w *world, action, server string) {
	t.Helper()
	for i := 0; ; i++ {
		var notLeader *store.NotLeaderError
		if err := changeServer(w.nodes[i%3], action, server, false); err == nil {
			return
		} else if !errors.As(err, &notLeader) && !errors.Is(err, store.ErrNoLeader) || t.Context().Err() != nil {
			t.Fatalf("%s server %s: %v", action, server, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// checkDrainAtEveryNode checks that a drain takes effect at once at the coordinator that gets the request, then
// at all.
func checkDrainAtEveryNode(t *testing.T, w *world) {
	t.Helper()
	for i, n := range w.nodes {
		if err := changeServer(n, "drain", "s-01", false); err != nil {
			t.Fatalf("drain server s-01 at coordinator %d: %v", i, err)
		}
		awaitServerState(t, w.nodes[i:i+1], "s-01", "draining", false)
		awaitServerState(t, w.nodes, "s-01", "draining", true)
		changeServerAtLeader(t, w, "undrain", "s-01")
		awaitServerState(t, w.nodes, "s-01", "in_service", true)
	}
}

// checkRestrictionOfUnknownInstanceIsRejected checks that a restriction whose origin is not a member is counted and has
// no effect.
func checkRestrictionOfUnknownInstanceIsRejected(t *testing.T, w *world) {
	t.Helper()
	restriction := `[{"id":{"origin":{"instance":"nobody","boot":1},"seq":1},"server":"s-04","kind":"draining","force":true}]`
	if status, body, err := w.call(w.nodes[0], "POST", "/_linkpass/orders?from=n1", restriction); err != nil || status != 200 {
		t.Errorf("restriction of an unknown instance: status = %d, want 200, body %s, error %v", status, body, err)
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
	if err := changeServer(w.nodes[0], "drain", "s-01", false); err != nil {
		t.Fatal(err)
	}
	awaitServerState(t, w.nodes, "s-01", "draining", true)
	var rejected *endpoints.RejectedError
	if err := changeServer(w.nodes[1], "drain", "s-02", false); !errors.As(err, &rejected) || rejected.Reason != config.NoReplicaLeft {
		t.Errorf("drain of the last replica: error %v, want a RejectedError with reason %v", err, config.NoReplicaLeft)
	}
	if err := changeServer(w.nodes[1], "remove", "s-02", true); err != nil {
		t.Fatal(err)
	}
	awaitServerState(t, w.nodes, "s-02", stateRemoved, true)
	if err := changeServer(w.nodes[2], "drain", "s-02", true); !errors.As(err, &rejected) || rejected.Reason != config.ServerIDRetired {
		t.Errorf("drain of a removed server: error %v, want a RejectedError with reason %v", err, config.ServerIDRetired)
	}
}

// checkSameState checks that all coordinators have the same replicated state.
func checkSameState(t *testing.T, w *world) {
	t.Helper()
	hashes := map[string]bool{}
	for _, n := range w.nodes {
		state, err := n.program.ReplicatedState()
		if err != nil {
			t.Fatal(err)
		}
		hashes[fmt.Sprint(state.Version, state.Hash)] = true
	}
	if len(hashes) > 1 {
		t.Errorf("replicated states (version and hash) differ between the coordinators: %v", hashes)
	}
}

// checkDrainWithoutMajority checks that a drain takes effect at once and stays pending, and that an undrain fails.
func checkDrainWithoutMajority(t *testing.T, n *node) {
	t.Helper()
	if err := changeServer(n, "drain", "s-03", false); err != nil {
		t.Fatal(err)
	}
	awaitServerState(t, []*node{n}, "s-03", "draining", false)
	if err := changeServer(n, "undrain", "s-03", false); err == nil {
		t.Error("undrain without a majority succeeded, want an error")
	}
	if state, err := n.program.ReplicatedState(); err != nil || len(state.Pending) != 1 {
		t.Errorf("pending restrictions = %+v, want one, error %v", state.Pending, err)
	}
	awaitServerState(t, []*node{n}, "s-03", "draining", false)
}
