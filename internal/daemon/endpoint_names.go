package daemon

import (
	"strconv"
	"sync"

	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
)

// endpointNames maps the router's ids of the listed servers to their names.
type endpointNames struct {
	mu    sync.Mutex // guards names
	names map[routing.ServerID]string
}

// UpdateEndpoints follows the endpoint list.
func (n *endpointNames) UpdateEndpoints(update coordinator.EndpointUpdate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if update.Mode != routing.UpdateDelta || n.names == nil {
		n.names = map[routing.ServerID]string{}
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == routing.Removed {
			delete(n.names, endpoint.Server)
		} else {
			n.names[endpoint.Server] = endpoint.Name
		}
	}
}

// name returns the server's name, or its id in hexadecimal if it is not listed.
func (n *endpointNames) name(id routing.ServerID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.names[id]; ok {
		return name
	}
	return strconv.FormatUint(uint64(id), 16)
}
