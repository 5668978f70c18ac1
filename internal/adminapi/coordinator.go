// Package adminapi is the admin API of a running coordinator: the types of its requests and responses, the handler that
// serves it and the client that calls it.
//
// The package owns no state and makes no decisions: the handler translates between HTTP and a Coordinator. Its
// subpackage signature signs and verifies calls over TCP. The program owns the listeners.
package adminapi

import (
	"context"
	"errors"

	"linkpass/internal/http1"
	"linkpass/internal/store"
)

// Version is the version of the API and the first segment of every path.
const Version = "/v1"

var (
	// ErrCoreBusy is returned if the coordinator's event loop does not answer in time.
	ErrCoreBusy = errors.New("the coordinator's event loop did not answer in time")
	// ErrNoStore is returned if the coordinator runs without a replicated store.
	ErrNoStore = errors.New("this coordinator runs without a replicated store")
	// ErrNoSearchFront is returned if the coordinator runs without a search front.
	ErrNoSearchFront = errors.New("this coordinator runs without a search front")
)

// Coordinator is the coordinator that the API reads and changes. Its methods are called concurrently.
type Coordinator interface {
	// Status returns the current state.
	Status() Status
	// Servers returns the league servers, or ErrCoreBusy.
	Servers() ([]Server, error)
	// Drain stops accepting clients until Activate. It returns the name of the state after that.
	Drain() (state string)
	// Activate ends a drain. It returns the name of the state after that.
	Activate() (state string)
	// Settings returns the effective settings with their sources.
	Settings() []Setting
	// ShardMaps returns the shard maps of the indices that have one, each limited to MaxShards.
	ShardMaps() []IndexShardMap
	// ReplicatedState returns the replicated state of the servers, or ErrNoStore.
	ReplicatedState() (ReplicatedState, error)
	// ChangeMember changes the members of the store. The error is ErrNoStore or one of the store.
	ChangeMember(context.Context, MemberRequest) error
	// ChangeServer changes a league server. An endpoints.RejectedError says that the change is invalid or conflicts
	// with the replicated state.
	ChangeServer(context.Context, ServerRequest) (ServerResponse, error)
	// Reload reads the configuration file again.
	Reload() (ReloadResult, error)
	// Store returns the replicated store; nil: there is none.
	Store() *store.Store
	// Search returns the handler of the search front; nil: there is none.
	Search() http1.Handler
}
