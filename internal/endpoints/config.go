package endpoints

import (
	"context"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
)

// BroadcastFunc sends restriction requests to another instance. A nil error means that the instance has
// received them.
type BroadcastFunc = func(context.Context, []restriction.Request) error

// Peer is another instance.
type Peer struct{ ID, Addr string }

// Config has the settings and dependencies of a Registry. All fields but those of
// other instances are required.
type Config struct {
	// InstanceID is the id of this instance.
	InstanceID string
	// Incarnation is the number of this process; each process of an instance has a greater one than the process before.
	Incarnation uint64
	// OnUpdate receives the updates of the merged list, one at a time and in order. It must not call the Registry.
	OnUpdate func(coordinator.EndpointUpdate)
	// ResolveEndpoint returns the endpoint of a server that a command of the log added.
	ResolveEndpoint func(id string, spec config.ServerSpec) (coordinator.Endpoint, error)
	// Broadcast has a function for each other instance in this instance's file, by the instance's id. It is nil if there
	// are none.
	Broadcast map[string]BroadcastFunc
	// JoinedPeers returns the other instances that are not in this instance's file, since they or this one joined the store
	// while it ran. nil: there are none.
	JoinedPeers func() []Peer
	// BroadcastTo returns the function for a joined peer. It is nil only if JoinedPeers is.
	BroadcastTo func(Peer) BroadcastFunc
	// Counters counts the restrictions that are issued, received, not acknowledged and not proposed.
	Counters *metrics.Counters
}
