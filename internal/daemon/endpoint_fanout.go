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

// endpointFanout is the core as discovery's watcher sees it; its updates reach the other listeners too.
type endpointFanout struct {
	*coordinator.Core
	others []endpointListener
}

var _ discovery.Core = endpointFanout{}

func newEndpointFanout(core *queryCore, names *endpointNames, shards *shardMaps) endpointFanout {
	fanout := endpointFanout{core.core, []endpointListener{names}}
	if shards.executor != nil {
		fanout.others = append(fanout.others, shards.executor)
	}
	return fanout
}

// UpdateEndpoints notifies all listeners, the core last.
func (f endpointFanout) UpdateEndpoints(update coordinator.EndpointUpdate) {
	for _, listener := range f.others {
		listener.UpdateEndpoints(update)
	}
	f.Core.UpdateEndpoints(update)
}

// registryCore is the core as discovery's watcher sees it where instances replicate overrides of the list: the
// registry receives discovery's updates, and sends the merged ones on.
type registryCore struct {
	*coordinator.Core
	registry *endpoints.Registry
}

// UpdateEndpoints hands discovery's update to the registry.
func (c registryCore) UpdateEndpoints(update coordinator.EndpointUpdate) {
	c.registry.UpdateEndpoints(update)
}
