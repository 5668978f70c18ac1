package shardmap

import "errors"

// Errors of a shard map and of a command on it, one for each rule that can be violated. Their texts, and those of
// the errors that wrap them, are returned in HTTP bodies and replicated with the result of a command, so they
// must not change between releases. They call a shard a slice, a replica a holder, a shard map a layout and a
// plan request an order.
var (
	ErrVersionConflict    = errors.New("the layout has another version")
	ErrIncompleteCoverage = errors.New("serving slices must cover the key space exactly once")
	ErrNoReplica          = errors.New("a range would be left without a sound holder")
	ErrPlanOverlap        = errors.New("another plan touches the range") // another open plan changes some of its keys
	ErrNotFound           = errors.New("no such slice or plan")
	ErrInvalidTransition  = errors.New("a plan cannot go there from its step") // to the step that a command asks for
	ErrInvalidRequest     = errors.New("the order makes no sense")             // the request is invalid
	ErrLimitExceeded      = errors.New("the layout has no room for it")        // limit on shards or plans reached
	ErrDuplicateID        = errors.New("an id must not be used twice")         // also: the map has not issued the id
)
