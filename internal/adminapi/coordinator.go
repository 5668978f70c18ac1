// Package adminapi is the admin API of a running coordinator: the types of its requests and responses, the handler that
// serves it and the client that calls it.
//
// It owns no state and makes no decision: the handler translates between HTTP and a Coordinator. Package signature below
// it signs and verifies calls over TCP; the listeners belong to the program.
package adminapi

import (
	"context"
	"errors"

	"linkpass/internal/http1"
	"linkpass/internal/store"
)

// Version of the API; it is the first segment of every path.
const Version = "/v1"

var (
	// ErrCoreBusy says that the coordinator's event loop did not answer in time.
	ErrCoreBusy = errors.New("the core did not answer in time")
	// ErrNoStore says that the coordinator runs without a replicated store.
	ErrNoStore = errors.New("there is no store here")
	// ErrNoSearchFront says that the coordinator runs without a search front.
	ErrNoSearchFront = errors.New("there is no search front here")
)

// Coordinator is what the API reads and changes.
type Coordinator interface {
	Status() Status
	Servers() ([]Server, error)
	Drain() (state string)
	Activate() (state string)
	Settings() []Setting
	ShardMaps() []IndexShardMap
	ReplicatedState() (ReplicatedState, error)
	ChangeMember(context.Context, MemberRequest) error
	ChangeServer(context.Context, ServerRequest) (ServerResponse, error)
	Reload() (ReloadResult, error)
	Store() *store.Store   // nil: there is none
	Search() http1.Handler // the search front; nil: there is none
}
