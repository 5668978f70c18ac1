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

// Config is what a Registry depends on. All fields but Broadcast are required.
type Config struct {
	// InstanceID is the id of this instance.
	InstanceID string
	// Incarnation is that of this process; it grows from each process of the instance to the next.
	Incarnation uint64
	// OnUpdate receives the updates of the merged list, one at a time and in order. It must not call the Registry.
	OnUpdate func(coordinator.EndpointUpdate)
	// ResolveEndpoint returns the endpoint of a server that a command added.
	ResolveEndpoint func(id string, spec config.ServerSpec) (coordinator.Endpoint, error)
	// Broadcast has a function for each other instance, by id.
	Broadcast map[string]BroadcastFunc
	Counters  *metrics.Counters
}
