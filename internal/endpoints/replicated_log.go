package endpoints

import (
	"context"

	"linkpass/internal/config"
)

// ReplicatedLog is the part of the replicated store that a Registry uses.
type ReplicatedLog interface {
	// State returns the state that this instance has applied.
	State() *config.State
	// IsLeader reports whether this instance leads the log.
	IsLeader() bool
	// Propose returns the result of a command, or an error if it is not known that a quorum has committed it.
	Propose(context.Context, config.Command) (config.Result, error)
}
