package store

import (
	"sync"
	"testing"
	"time"

	"linkpass/internal/config"
)

// Guards against a leader that counts as lost while it applies a change: resharding would begin anew each time.
func TestConfirmLeaderSucceedsDuringChanges(t *testing.T) {
	const confirmations = 100
	m := newSingleMember(t)
	confirmedTerm(t, m.store)
	if _, err := m.store.PatchSettings(t.Context(), []byte(windowPatch(7))); err != nil {
		t.Fatal(err)
	}
	data, err := config.Encode(config.Command{Kind: config.PatchSettings, Payload: []byte(windowPatch(8))})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var changes sync.WaitGroup
	defer changes.Wait()
	defer close(stop)
	changes.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				_ = m.store.raft.Apply(data, quorumTimeout).Error()
			}
		}
	})
	for i := range confirmations {
		committed := m.store.State().Version()
		leader, err := m.store.ConfirmLeader(t.Context())
		if err != nil {
			t.Fatalf("confirmation %d: %v", i+1, err)
		}
		if leader.State.Version() < committed || leader.LeaseEnd.Before(time.Now().Add(-time.Second)) {
			t.Fatalf("confirmation %d: %+v, want version %d or later and a lease", i+1, leader, committed)
		}
	}
}
