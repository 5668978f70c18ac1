package store

import (
	"context"
	"errors"
	"slices"
)

// unchangedErrors are the errors of operations that changed nothing, unless they wrap ErrOutcomeUnknown too. The errors
// of a context are those of an operation that was not started.
var unchangedErrors = []error{
	ErrNoLeader, ErrNoQuorum, ErrConflict, ErrNotCaughtUp, ErrStale, ErrHalted, ErrRateLimited, ErrTooLarge,
	context.DeadlineExceeded, context.Canceled,
}

// ChangedNothing reports whether an operation that failed with err is known to have changed nothing, and to change nothing
// later, so that it may be repeated. It is false for errors that this package does not define.
func ChangedNothing(err error) bool {
	if errors.Is(err, ErrOutcomeUnknown) {
		return false
	}
	return slices.ContainsFunc(unchangedErrors, func(known error) bool { return errors.Is(err, known) })
}
