package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

const applyTimeout = 3 * time.Second // for a quorum to confirm a proposal

// Errors of an operation that needs the leader and a quorum.
var (
	ErrNoLeader = errors.New("store: no leader is known, a majority may be out of reach")
	ErrNoQuorum = errors.New("store: a majority did not confirm in time")
)

// NotLeaderError is the error of an operation that another instance has to be asked for: the leader.
type NotLeaderError struct{ Leader Member }

// Error names the leader.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("store: %s at %s is the leader", e.Leader.ID, e.Leader.HTTP)
}

// IsLeader reports whether this instance is the leader, as far as it knows.
func (s *Store) IsLeader() bool { return s.raft.State() == raft.Leader }

// Leader is the id of the leader; "" if none is known.
func (s *Store) Leader() string {
	_, id := s.raft.LeaderWithID()
	return string(id)
}

// checkLeader returns an error unless this instance is the leader as far as it knows: *NotLeaderError where another one
// is, ErrNoLeader where none is known, or the cause for which this instance has halted.
func (s *Store) checkLeader() error {
	if err := s.fsm.haltedErr(); err != nil {
		return err
	}
	if s.IsLeader() {
		return nil
	}
	address, serverID := s.raft.LeaderWithID()
	id := string(serverID)
	if id == "" || id == s.config.ID {
		return ErrNoLeader
	}
	return &NotLeaderError{Leader: Member{ID: id, Raft: string(address), HTTP: s.httpAddress(id)}}
}

// verifyLeader confirms with a quorum that this instance is still the leader.
func (s *Store) verifyLeader(ctx context.Context, operation string) error {
	if err := checkContext(ctx, operation); err != nil {
		return err
	}
	if err := s.checkLeader(); err != nil {
		return err
	}
	return awaitRead(ctx, operation, s.raft.VerifyLeader())
}

// barrier waits until every entry committed so far is applied here.
func (s *Store) barrier(ctx context.Context, operation string) error {
	if err := checkContext(ctx, operation); err != nil {
		return err
	}
	return awaitRead(ctx, operation, s.raft.Barrier(applyTimeout))
}

// await waits until a quorum has confirmed an operation, at most for applyTimeout and until the context ends. The
// library bounds no wait of its own: the goroutine lives until the future completes, at the latest when leadership is
// lost.
func await(ctx context.Context, future raft.Future) error {
	done := make(chan error, 1) // buffered: the goroutine ends also where nobody waits any more
	go func() { done <- future.Error() }()
	timer := time.NewTimer(applyTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return quorumError(err)
	case <-timer.C:
		return ErrNoQuorum
	case <-ctx.Done():
		return knownOutcome(done, ctx.Err())
	}
}

// knownOutcome is the outcome of an operation if it is known by now, so that a context that ends at the same time does
// not hide it; otherwise it is err.
func knownOutcome(done <-chan error, err error) error {
	select {
	case outcome := <-done:
		return quorumError(outcome)
	default:
		return err
	}
}

// quorumError turns the library's errors of an operation that no quorum confirmed into ErrNoQuorum.
func quorumError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrNotLeader),
		errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrEnqueueTimeout):
		return fmt.Errorf("%w: %w", ErrNoQuorum, err)
	default:
		return fmt.Errorf("store: raft: %w", err)
	}
}
