package endpointmerge

import (
	"maps"
	"slices"

	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
)

// Merger merges the endpoints from discovery with the replicated overrides. It is not safe for concurrent use.
type Merger struct {
	discovered map[string]coordinator.Endpoint
	overrides  map[string]Override
	merged     map[string]coordinator.Endpoint
	// gone has the added servers that discovery has told gone since they were added, with the endpoints that they were
	// added with. They stay out of service until discovery lists them again or a command changes their endpoint: that they
	// were added does not tell that they run.
	gone       map[string]coordinator.Endpoint
	onlyCached bool // discovery has sent nothing yet, or only a cached list from before this process
}

// New returns a Merger that has no endpoints and no overrides yet.
func New() *Merger {
	return &Merger{
		discovered: map[string]coordinator.Endpoint{},
		overrides:  map[string]Override{},
		merged:     map[string]coordinator.Endpoint{},
		gone:       map[string]coordinator.Endpoint{},
		onlyCached: true,
	}
}

// ApplyDiscovery applies an update from discovery, and returns the update of the merged list. An UpdateFailed is
// returned unchanged, and the last list stays in effect. Data that is older than the current state is ignored: a cached
// list, which dates from before this process, after a newer one, and an endpoint of an earlier start of its server's
// process.
func (m *Merger) ApplyDiscovery(update coordinator.EndpointUpdate) coordinator.EndpointUpdate {
	if update.Mode == routing.UpdateFailed {
		return update
	}
	if update.Mode == routing.UpdateCached && !m.onlyCached {
		return coordinator.EndpointUpdate{Mode: routing.UpdateDelta} // no change: a newer list was received before
	}
	m.onlyCached = update.Mode == routing.UpdateCached
	if update.Mode == routing.UpdateDelta {
		return m.applyDelta(update.Endpoints)
	}
	m.replaceDiscovered(update.Endpoints)
	return coordinator.EndpointUpdate{Mode: update.Mode, Endpoints: m.endpoints()}
}

// applyDelta applies changes of single endpoints.
func (m *Merger) applyDelta(endpoints []coordinator.Endpoint) coordinator.EndpointUpdate {
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		names = append(names, e.Name)
		m.setDiscovered(m.latest(e, m.discovered))
	}
	return m.refresh(names)
}

// replaceDiscovered replaces the complete list from discovery. A server that it no longer has is gone.
func (m *Merger) replaceDiscovered(endpoints []coordinator.Endpoint) {
	previous := m.discovered
	m.discovered = map[string]coordinator.Endpoint{}
	names := make([]string, 0, len(previous)+len(endpoints)+len(m.overrides))
	names = slices.AppendSeq(names, maps.Keys(previous))
	for _, e := range endpoints {
		names = append(names, e.Name)
		m.setDiscovered(m.latest(e, previous))
	}
	for name := range previous {
		if _, listed := m.discovered[name]; !listed {
			m.setGone(name)
		}
	}
	names = slices.AppendSeq(names, maps.Keys(m.overrides))
	m.refresh(names)
}

// setDiscovered stores or removes an endpoint from discovery. It ignores an endpoint without a name.
func (m *Merger) setDiscovered(e coordinator.Endpoint) {
	switch {
	case e.Name == "":
	case e.State == routing.Removed:
		delete(m.discovered, e.Name)
		m.setGone(e.Name)
	default:
		m.discovered[e.Name] = e
		delete(m.gone, e.Name)
	}
}

// setGone records that discovery has told a server gone, if a command has added it.
func (m *Merger) setGone(name string) {
	if added := m.overrides[name].Added; added != nil {
		m.gone[name] = *added
	}
}

// Gone returns the added servers that discovery has told gone, sorted.
func (m *Merger) Gone() []string { return slices.Sorted(maps.Keys(m.gone)) }

// RestoreGone restores what Gone returned in an earlier process, with the endpoints that the servers were added with. It
// must be called before ApplyOverrides adds them, which ignores a server whose endpoint has changed since.
func (m *Merger) RestoreGone(endpoints map[string]coordinator.Endpoint) {
	for name, endpoint := range endpoints {
		if _, listed := m.discovered[name]; !listed && m.overrides[name].Added == nil {
			m.gone[name] = endpoint
		}
	}
}

// latest returns the endpoint that is in effect after an update: e, or the known one if e is of an earlier start of the
// server's process. A start of 0 tells only that it was long ago, so a drain with it counts for the known start; anything
// else with it does not end a state that was told of a later start.
func (*Merger) latest(e coordinator.Endpoint, discovered map[string]coordinator.Endpoint) coordinator.Endpoint {
	known, ok := discovered[e.Name]
	if !ok || e.State == routing.Removed || e.StartedAt >= known.StartedAt {
		return e
	}
	if e.StartedAt == 0 && e.State == routing.Draining {
		e.StartedAt = known.StartedAt
		return e
	}
	return known
}

// ApplyOverrides applies overrides by server name, and returns the update of the merged list. A zero Override removes
// the server's previous one. The returned update already includes a new restriction, whatever discovery reports.
func (m *Merger) ApplyOverrides(overrides map[string]Override) coordinator.EndpointUpdate {
	names := make([]string, 0, len(overrides))
	for name, override := range overrides {
		names = append(names, name)
		if gone, ok := m.gone[name]; ok && !sameEndpoint(override.Added, &gone) {
			delete(m.gone, name)
		}
		if override == (Override{}) {
			delete(m.overrides, name)
		} else {
			m.overrides[name] = override
		}
	}
	return m.refresh(names)
}

// refresh merges the named servers again, and returns the changes of the merged list.
func (m *Merger) refresh(names []string) coordinator.EndpointUpdate {
	slices.Sort(names)
	update := coordinator.EndpointUpdate{Mode: routing.UpdateDelta}
	for _, name := range slices.Compact(names) {
		before, listed := m.merged[name]
		after, ok := m.merge(name)
		switch {
		case !ok && listed:
			delete(m.merged, name)
			before.State = routing.Removed
			update.Endpoints = append(update.Endpoints, before)
		case ok && (!listed || before != after):
			m.merged[name] = after
			update.Endpoints = append(update.Endpoints, after)
		}
	}
	return update
}

// merge returns the merged endpoint of a server, and whether the merged list contains the server.
func (m *Merger) merge(name string) (coordinator.Endpoint, bool) {
	endpoint, listed := m.discovered[name]
	override := m.overrides[name]
	if _, gone := m.gone[name]; !listed && !gone && override.Added != nil {
		endpoint, listed = *override.Added, true
	}
	if !listed || override.Restriction == restriction.Removed {
		return coordinator.Endpoint{}, false
	}
	if override.Weight > 0 {
		endpoint.Weight = override.Weight
	}
	if override.Restriction == restriction.Draining {
		endpoint.State = routing.Draining
	}
	return endpoint, true
}

// endpoints returns the merged endpoints, sorted by name.
func (m *Merger) endpoints() []coordinator.Endpoint {
	endpoints := make([]coordinator.Endpoint, 0, len(m.merged))
	for _, name := range slices.Sorted(maps.Keys(m.merged)) {
		endpoints = append(endpoints, m.merged[name])
	}
	return endpoints
}
