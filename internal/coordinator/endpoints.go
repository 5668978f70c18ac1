package coordinator

import (
	"time"

	"linkpass/internal/routing"
)

// endpointCountsInterval is the interval at which the totals of servers are refreshed.
const endpointCountsInterval = 100 * time.Millisecond

// Endpoint is one server of the endpoint list.
type Endpoint struct {
	routing.Endpoint
	Name, Addr string
}

// EndpointUpdate is a complete endpoint list or a change of it.
type EndpointUpdate struct {
	Mode      routing.UpdateMode
	Endpoints []Endpoint
}

// UpdateEndpoints passes an update of the endpoint list to the transports and the router.
func (c *Core) UpdateEndpoints(update EndpointUpdate) {
	c.post(endpointsUpdated{update})
}

func (c *Core) updateEndpoints(update EndpointUpdate) {
	c.counters.Add("endpoint_updates", 1)
	c.transports.UpdateEndpoints(update)
	endpoints := make([]routing.Endpoint, len(update.Endpoints))
	for i, e := range update.Endpoints {
		endpoints[i] = e.Endpoint
	}
	c.addEvent(routing.EndpointUpdate{Mode: update.Mode, Endpoints: endpoints})
}

// refreshEndpointCounts refreshes the totals of servers from the router, now and at every later interval.
func (c *Core) refreshEndpointCounts() {
	known, excluded := c.router.EndpointCounts(c.Now())
	c.totals.ServersKnown.Store(int64(known))
	c.totals.ServersExcluded.Store(int64(excluded))
	c.deadlines.Arm(c.Now()+endpointCountsInterval, c.refreshEndpointCounts)
}

// Snapshot returns the router's state of each server. It returns false if the core has stopped or does not answer
// within the limit.
func (c *Core) Snapshot(limit time.Duration) (servers []routing.ServerSnapshot, ok bool) {
	reply := make(chan []routing.ServerSnapshot, 1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case c.mailbox <- snapshotRequested{reply}:
	case <-c.stopped:
		return nil, false
	case <-timer.C:
		return nil, false
	}
	select {
	case servers = <-reply:
		return servers, true
	case <-c.stopped:
		return nil, false
	case <-timer.C:
		return nil, false
	}
}
