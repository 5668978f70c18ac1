package daemon

import (
	"linkpass/internal/coordinator"
	"linkpass/internal/discovery"
	"linkpass/internal/endpoints"
)

// endpointListener follows the endpoint list.
type endpointListener interface {
	UpdateEndpoints(coordinator.EndpointUpdate)
}

// endpointFanout passes updates of the endpoint list to the core and to the other listeners. Discovery's watcher uses
// it in place of the core.
type endpointFanout struct {
	*coordinator.Core
	listeners []endpointListener
}

var _ discovery.Core = endpointFanout{}

func newEndpointFanout(core *queryCore, names *endpointNames, shards *shardMaps) endpointFanout {
	fanout := endpointFanout{core.core, []endpointListener{names}}
	if shards.executor != nil {
		fanout.listeners = append(fanout.listeners, shards.executor)
	}
	return fanout
}

// UpdateEndpoints passes an update to all listeners, to the core last.
func (f endpointFanout) UpdateEndpoints(update coordinator.EndpointUpdate) {
	for _, listener := range f.listeners {
		listener.UpdateEndpoints(update)
	}
	f.Core.UpdateEndpoints(update)
}

// registryCore is used by discovery's watcher in place of the core if instances replicate overrides of the endpoint
// list: the registry receives discovery's updates, and passes the merged ones on.
type registryCore struct {
	*coordinator.Core
	registry *endpoints.Registry
}

// UpdateEndpoints passes discovery's update to the registry.
func (c registryCore) UpdateEndpoints(update coordinator.EndpointUpdate) {
	c.registry.UpdateEndpoints(update)
}
