package store

import (
	"errors"
	"testing"

	"github.com/hashicorp/raft"
)

// endedFuture is a future of the Raft library that has ended.
type endedFuture struct{ err error }

func (f endedFuture) Error() error { return f.err }

// Guards against a caller that repeats a change which is committed after all: a change that lost its leader says that its
// outcome is unknown. One that was never appended does not.
func TestLostLeadershipMakesOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		err     error
		unknown bool
	}{
		{raft.ErrLeadershipLost, true},
		{raft.ErrNotLeader, false},
		{raft.ErrEnqueueTimeout, false},
	} {
		err := awaitChange(t.Context(), "patch settings", endedFuture{c.err})
		if !errors.Is(err, ErrNoQuorum) || errors.Is(err, ErrOutcomeUnknown) != c.unknown {
			t.Errorf("%v: error = %v, want ErrNoQuorum, with an unknown outcome: %t", c.err, err, c.unknown)
		}
	}
	if err := awaitChange(t.Context(), "patch settings", endedFuture{}); err != nil {
		t.Errorf("a committed change: error = %v", err)
	}
}
