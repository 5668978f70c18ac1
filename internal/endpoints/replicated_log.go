package endpoints

import (
	"context"

	"linkpass/internal/config"
)

// ReplicatedLog is what a Registry needs of the replicated store.
type ReplicatedLog interface {
	// State returns the state that this instance has applied.
	State() *config.State
	IsLeader() bool
	// Propose returns the result of a command, or an error if no quorum is known to have committed it.
	Propose(context.Context, config.Command) (config.Result, error)
}
