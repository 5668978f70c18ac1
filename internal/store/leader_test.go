package store

import (
	"errors"
	"testing"

	"github.com/hashicorp/raft"
)

func TestQuorumErrorClassifiesRaftErrors(t *testing.T) {
	for _, c := range []struct {
		err      error
		noQuorum bool
	}{
		{raft.ErrNotLeader, true},
		{raft.ErrLeadershipLost, true},
		{raft.ErrEnqueueTimeout, true},
		{raft.ErrRaftShutdown, false},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			got := quorumError(c.err)
			if !errors.Is(got, c.err) || errors.Is(got, ErrNoQuorum) != c.noQuorum {
				t.Errorf("error = %v, want it to wrap %v, with ErrNoQuorum: %t", got, c.err, c.noQuorum)
			}
		})
	}
	if err := quorumError(nil); err != nil {
		t.Errorf("quorumError(nil) = %v, want nil", err)
	}
}
