package discovery

import (
	"hash/fnv"
	"math"
	"net"
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
)

// Converter converts discovery's endpoint lists to endpoint updates of the core. A zone or kind that is not in Zones or
// Kinds is converted to index 0, the first one.
type Converter struct {
	Zones, Kinds []string                         // the core identifies a zone or kind by its index here
	Cells        int                              // number of cells; a cell is from 0 to Cells-1
	ToCoreTime   func(unixMS int64) time.Duration // converts milliseconds of Unix time to the core's clock; required

	starts map[string]serverStart // by server; those of the latest list that named it
}

// serverStart is when a server's process started.
type serverStart struct {
	unixMS int64
	at     time.Duration // on the core's clock
}

// Convert converts a list to an update. If an endpoint can't be used, it rejects the whole list with an
// *InvalidEndpointError: an update with only a part of the list would be misleading.
func (c *Converter) Convert(list EndpointList) (coordinator.EndpointUpdate, error) {
	update := coordinator.EndpointUpdate{Mode: routing.UpdateDelta}
	if list.Full {
		update.Mode = routing.UpdateFull
	}
	for _, e := range list.Endpoints {
		endpoint, err := c.convertEndpoint(e)
		if err != nil {
			return coordinator.EndpointUpdate{}, err
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	c.rememberStarts(list, update)
	return update, nil
}

// startedAt returns when a server's process started, on the core's clock. A start that was told before is not converted
// again: the wall clock may have been stepped meanwhile, and the same start would seem to be another one.
func (c *Converter) startedAt(e Endpoint) time.Duration {
	if known, ok := c.starts[e.ID]; ok && known.unixMS == e.StartedMS {
		return known.at
	}
	return c.ToCoreTime(e.StartedMS)
}

// rememberStarts remembers the starts of the servers in a list, and forgets those of servers that are gone.
func (c *Converter) rememberStarts(list EndpointList, update coordinator.EndpointUpdate) {
	if list.Full || c.starts == nil {
		c.starts = make(map[string]serverStart, len(list.Endpoints))
	}
	for i, e := range list.Endpoints {
		if update.Endpoints[i].State == routing.Removed {
			delete(c.starts, e.ID)
			continue
		}
		c.starts[e.ID] = serverStart{e.StartedMS, update.Endpoints[i].StartedAt}
	}
}

func (c *Converter) convertEndpoint(e Endpoint) (coordinator.Endpoint, error) {
	state, known := endpointStates[e.State]
	if !known || e.ID == "" || e.Cell < 0 || e.Cell >= c.Cells || math.IsNaN(e.Weight) || e.Weight < 0 {
		return coordinator.Endpoint{}, &InvalidEndpointError{ID: e.ID, State: e.State, Cell: e.Cell}
	}
	if _, err := net.ResolveTCPAddr("tcp", e.Addr); err != nil && state != routing.Removed {
		return coordinator.Endpoint{}, &InvalidEndpointError{ID: e.ID, State: e.State, Cell: e.Cell, Err: err}
	}
	return coordinator.Endpoint{Name: e.ID, Addr: e.Addr, Endpoint: routing.Endpoint{
		Server:    ServerID(e.ID),
		Zone:      max(0, slices.Index(c.Zones, e.Zone)),
		Kind:      max(0, slices.Index(c.Kinds, e.Kind)),
		Cell:      e.Cell,
		State:     state,
		Weight:    e.Weight,
		StartedAt: c.startedAt(e),
	}}, nil
}

// ServerID returns the number by which the routing package identifies the server of this name. It is a hash of the
// name, so that it is the same in every process.
func ServerID(name string) routing.ServerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return routing.ServerID(h.Sum64())
}
