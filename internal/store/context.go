package store

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// ErrOutcomeUnknown is the error of a change that may already be committed, or may be committed later: while a quorum was
// awaited, its context ended, quorumTimeout passed or leadership was lost. The returned error also wraps the error of
// the context, or ErrNoQuorum.
var ErrOutcomeUnknown = errors.New("the outcome is unknown")

// checkContext returns an error if the context has ended. It is called before an operation, or its next step, starts.
func checkContext(ctx context.Context, operation string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("store: %s: not started: %w", operation, err)
	}
	return nil
}

// lockProposals acquires the proposal lock, or returns an error if the context ends first. On success, the caller must
// call unlockProposals.
func (s *Store) lockProposals(ctx context.Context, operation string) error {
	if err := checkContext(ctx, operation); err != nil {
		return err
	}
	select {
	case s.proposalLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return checkContext(ctx, operation)
	}
}

// unlockProposals releases the proposal lock.
func (s *Store) unlockProposals() { <-s.proposalLock }

// awaitChange waits until a quorum has confirmed a change. It returns ErrOutcomeUnknown if it ends without an outcome.
func awaitChange(ctx context.Context, operation string, future raft.Future) error {
	err := await(ctx, future)
	if isContextError(ctx, err) || mayBeCommitted(err) {
		return fmt.Errorf("store: %s: %w: %w", operation, ErrOutcomeUnknown, err)
	}
	return err
}

// awaitRead waits until a quorum has confirmed what a read depends on. If the context ends first, it returns the error
// of the context: a read has no outcome that could be unknown.
func awaitRead(ctx context.Context, operation string, future raft.Future) error {
	err := await(ctx, future)
	if isContextError(ctx, err) {
		return fmt.Errorf("store: %s: %w", operation, err)
	}
	return err
}

// mayBeCommitted reports whether a change that failed with err may be in the log. It is not if this instance did not lead
// when the change was to be appended, or could not append it in time.
func mayBeCommitted(err error) bool {
	return errors.Is(err, ErrNoQuorum) && !errors.Is(err, raft.ErrNotLeader) && !errors.Is(err, raft.ErrEnqueueTimeout)
}

// isContextError reports whether the context has ended and err wraps its error.
func isContextError(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err())
}
