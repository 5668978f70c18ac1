package store

import (
	"context"
	"fmt"
	"time"

	"linkpass/internal/config"
)

// LeaderState is the state of a leader that a quorum has confirmed.
type LeaderState struct {
	Term  uint64 // in which this instance leads
	State *config.State
	// LeaseEnd is the time before which no other instance leads, as long as the members' clocks do not drift apart by
	// more than the lease while it lasts: the members that confirmed this leader elect no other one so soon.
	LeaseEnd time.Time
}

// ConfirmLeader returns the state of this instance after a quorum has confirmed that it is the leader. All entries that
// were committed before the call are in that state, and no other instance leads in that term. It writes nothing to the
// log but one barrier a term.
func (s *Store) ConfirmLeader(ctx context.Context) (LeaderState, error) {
	const operation = "confirm leader"
	if err := s.checkLeader(); err != nil {
		return LeaderState{}, err
	}
	term := s.raft.CurrentTerm()
	if err := s.awaitEarlierTerms(ctx, operation); err != nil {
		return LeaderState{}, err
	}
	committed := s.raft.CommitIndex()
	askedAt := time.Now()
	if err := s.verifyLeader(ctx, operation); err != nil {
		return LeaderState{}, err
	}
	if !s.hasApplied(committed) {
		return LeaderState{}, fmt.Errorf("store: %s: %w", operation, ErrStale)
	}
	state := s.State()
	if s.raft.CurrentTerm() != term {
		return LeaderState{}, fmt.Errorf("store: %s: %w", operation, ErrNoLeader)
	}
	return LeaderState{Term: term, State: state, LeaseEnd: askedAt.Add(s.leaderLease)}, nil
}
