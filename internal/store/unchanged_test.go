package store

import (
	"errors"
	"fmt"
	"testing"

	"github.com/hashicorp/raft"

	"linkpass/internal/config"
)

// Guards against a change that is reported as refused and is in force all the same: only errors that say that nothing was
// changed, now or later, count as refusals.
func TestChangedNothing(t *testing.T) {
	halted := newFSM(nil)
	halted.halt(config.ErrUnknownFormat)
	for _, c := range []struct {
		name      string
		err       error
		unchanged bool
	}{
		{"no leader", ErrNoLeader, true},
		{"no quorum for a read", ErrNoQuorum, true},
		{"not started", checkContext(canceledContext(t), "patch settings"), true},
		{"too many changes", fmt.Errorf("%w: the limit", ErrRateLimited), true},
		{"halted before", halted.haltedErr(), true},
		{"lost leadership", awaitChange(t.Context(), "patch settings", endedFuture{raft.ErrLeadershipLost}), false},
		{"never appended", awaitChange(t.Context(), "patch settings", endedFuture{raft.ErrNotLeader}), true},
		{"half done", halfDone("add learner n3", ErrNoLeader), false},
		{"any other", errors.New("odd"), false},
	} {
		if got := ChangedNothing(c.err); got != c.unchanged {
			t.Errorf("%s: ChangedNothing(%v) = %v, want %v", c.name, c.err, got, c.unchanged)
		}
	}
}

// A change that is committed and that this instance cannot apply has an unknown outcome: the other members apply it.
func TestCommittedChangeThatHaltsHasUnknownOutcome(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	_, err := m.store.replicateEntry(t.Context(), "patch settings", []byte{99, 1}) // of a format that is not known here
	if !errors.Is(err, ErrOutcomeUnknown) || ChangedNothing(err) {
		t.Errorf("error = %v, want ErrOutcomeUnknown", err)
	}
	if _, err := m.store.PatchSettings(t.Context(), []byte(windowPatch(7))); !errors.Is(err, ErrHalted) || !ChangedNothing(err) {
		t.Errorf("next change: error = %v, want ErrHalted, with nothing changed", err)
	}
}
