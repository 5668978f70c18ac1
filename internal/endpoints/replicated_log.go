package endpoints

import (
	"context"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
)

// GoneServers are the servers that a command added and that discovery told gone since, with the specification that they
// had then, by name.
type GoneServers = map[string]config.ServerSpec

// ReplicatedLog is the part of the replicated store that a Registry uses.
type ReplicatedLog interface {
	// State returns the state that this instance has applied.
	State() *config.State
	// IsLeader reports whether this instance leads the log.
	IsLeader() bool
	// SavePending replaces the pending requests on disk. They are on disk when it returns nil.
	SavePending([]restriction.Request) error
	// LoadPending returns the pending requests that are on disk, some of which the log may have settled since.
	LoadPending() ([]restriction.Request, error)
	// SaveGone replaces the added servers that are gone on disk. They are on disk when it returns nil.
	SaveGone(GoneServers) error
	// LoadGone returns the added servers that are gone, as they are on disk.
	LoadGone() (GoneServers, error)
	// Propose returns the result of a command, or an error if it is not known that a quorum has committed it.
	Propose(context.Context, config.Command) (config.Result, error)
}
