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

// Config has the settings and dependencies of a Registry. All fields but Broadcast are required.
type Config struct {
	// InstanceID is the id of this instance.
	InstanceID string
	// Incarnation is the number of this process; each process of an instance has a greater one than the process before.
	Incarnation uint64
	// OnUpdate receives the updates of the merged list, one at a time and in order. It must not call the Registry.
	OnUpdate func(coordinator.EndpointUpdate)
	// ResolveEndpoint returns the endpoint of a server that a command of the log added.
	ResolveEndpoint func(id string, spec config.ServerSpec) (coordinator.Endpoint, error)
	// Broadcast has a function for each other instance, by the instance's id. It is nil if there are none.
	Broadcast map[string]BroadcastFunc
	// Counters counts the restrictions that are issued, received, not acknowledged and not proposed.
	Counters *metrics.Counters
}
