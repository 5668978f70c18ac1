package store

import (
	"context"
	"fmt"
	"time"

	"linkpass/internal/config"
)

// applyPollInterval is the time between two checks of whether an entry is applied.
const applyPollInterval = time.Millisecond

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
	if err := s.awaitApplied(ctx, operation, committed); err != nil {
		return LeaderState{}, err
	}
	state := s.State()
	if s.raft.CurrentTerm() != term {
		return LeaderState{}, fmt.Errorf("store: %s: %w", operation, ErrNoLeader)
	}
	return LeaderState{Term: term, State: state, LeaseEnd: askedAt.Add(s.leaderLease)}, nil
}

// awaitApplied waits until the current state has the effect of all entries up to a committed index, for at most
// quorumTimeout.
func (s *Store) awaitApplied(ctx context.Context, operation string, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	ticker := time.NewTicker(applyPollInterval)
	defer ticker.Stop()
	for !s.hasApplied(index) {
		if err := s.fsm.haltedErr(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("store: %s: %w: %w", operation, ErrStale, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
