package store

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// ErrOutcomeUnknown is the error of a change whose caller stopped waiting: it may be committed already, or be committed
// later. It wraps the error of the caller's context.
var ErrOutcomeUnknown = errors.New("the outcome is unknown")

// checkContext returns an error if the context has ended before an operation, or its next step, was started.
func checkContext(ctx context.Context, operation string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("store: %s: not started: %w", operation, err)
	}
	return nil
}

// lockProposals waits until no other proposal is under way. The caller must call unlockProposals.
func (s *Store) lockProposals(ctx context.Context, operation string) error {
	if err := checkContext(ctx, operation); err != nil {
		return err
	}
	select {
	case s.proposing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return checkContext(ctx, operation)
	}
}

// unlockProposals lets the next proposal begin.
func (s *Store) unlockProposals() { <-s.proposing }

// awaitChange waits until a quorum has confirmed a change. It returns ErrOutcomeUnknown if the context ends first.
func awaitChange(ctx context.Context, operation string, future raft.Future) error {
	err := await(ctx, future)
	if isContextError(ctx, err) {
		return fmt.Errorf("store: %s: %w: %w", operation, ErrOutcomeUnknown, err)
	}
	return err
}

// awaitRead waits until a quorum has confirmed what a read depends on.
func awaitRead(ctx context.Context, operation string, future raft.Future) error {
	err := await(ctx, future)
	if isContextError(ctx, err) {
		return fmt.Errorf("store: %s: %w", operation, err)
	}
	return err
}

// isContextError reports whether an error is that of a context that has ended.
func isContextError(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err())
}
