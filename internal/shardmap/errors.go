package shardmap

import "errors"

// Errors of a shard map and of a command on it. Each names the invariant at stake. Their
// texts, and those that wrap them, are returned in HTTP bodies and replicated with the
// result of a command, so they stay the same from version to version.
var (
	ErrVersionConflict    = errors.New("the layout has another version")
	ErrIncompleteCoverage = errors.New("serving slices must cover the key space exactly once")
	ErrNoReplica          = errors.New("a range would be left without a sound holder")
	ErrPlanOverlap        = errors.New("another plan touches the range")
	ErrNotFound           = errors.New("no such slice or plan")
	ErrInvalidTransition  = errors.New("a plan cannot go there from its step")
	ErrInvalidRequest     = errors.New("the order makes no sense")
	ErrLimitExceeded      = errors.New("the layout has no room for it")
	ErrDuplicateID        = errors.New("an id must not be used twice")
)
