// Package endpointmerge makes one list of servers out of discovery's and the agreed one. It touches no I/O, clock or goroutine; its
// rules stand in docs/design/raft.md.
package endpointmerge

import (
	"maps"
	"slices"

	"linkpass"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
)

// Override is what instances agree on of a server, as it holds here.
type Override struct {
	Restriction restriction.Level
	Weight      float64               // 0: discovery's
	Added       *coordinator.Endpoint // as a command added it, in service; nil: only discovery can list it
}

// Merger holds what both sources have said. One goroutine uses it.
type Merger struct {
	discovered map[string]coordinator.Endpoint
	overrides  map[string]Override
	merged     map[string]coordinator.Endpoint
	cached     bool // discovery's last word is one from before this process
}

// New has heard nothing yet.
func New() *Merger {
	return &Merger{discovered: map[string]coordinator.Endpoint{}, overrides: map[string]Override{},
		merged: map[string]coordinator.Endpoint{}, cached: true}
}

// ApplyDiscovery takes discovery's news, and gives the list's. A source that failed keeps its last word: that it failed is
// handed on.
func (m *Merger) ApplyDiscovery(l coordinator.EndpointUpdate) coordinator.EndpointUpdate {
	if l.Mode == linkpass.ListFailed {
		return l
	}
	if l.Mode == linkpass.ListCached && !m.cached {
		return coordinator.EndpointUpdate{Mode: linkpass.ListDelta} // it has said something newer
	}
	m.cached = l.Mode == linkpass.ListCached
	names := make([]string, 0, len(l.Endpoints))
	if l.Mode != linkpass.ListDelta {
		for name := range m.discovered {
			names = append(names, name)
		}
		old := m.discovered
		m.discovered = map[string]coordinator.Endpoint{}
		for _, s := range l.Endpoints {
			if was, ok := old[s.Name]; ok && s.State != linkpass.Gone && s.Since < was.Since { // the past: the last line stays
				s = was
			}
			m.observe(s)
		}
	} else {
		for _, s := range l.Endpoints {
			if was, ok := m.discovered[s.Name]; !ok || s.State == linkpass.Gone || s.Since >= was.Since {
				m.observe(s)
			}
		}
	}
	for _, s := range l.Endpoints {
		names = append(names, s.Name)
	}
	if l.Mode == linkpass.ListDelta {
		return m.diff(names)
	}
	m.diff(append(names, slices.Collect(maps.Keys(m.overrides))...))
	return coordinator.EndpointUpdate{Mode: l.Mode, Endpoints: m.endpoints()}
}

func (m *Merger) observe(s coordinator.Endpoint) {
	if s.Name == "" {
		return
	}
	if s.State == linkpass.Gone {
		delete(m.discovered, s.Name)
		return
	}
	m.discovered[s.Name] = s
}

// ApplyOverrides takes what is agreed of a server now, and gives the list's news at once: a drain is told when either source
// tells it.
func (m *Merger) ApplyOverrides(now map[string]Override) coordinator.EndpointUpdate {
	names := make([]string, 0, len(now))
	for name, a := range now {
		names = append(names, name)
		if a == (Override{}) {
			delete(m.overrides, name)
		} else {
			m.overrides[name] = a
		}
	}
	return m.diff(names)
}

// diff finds what is new of some servers.
func (m *Merger) diff(names []string) coordinator.EndpointUpdate {
	slices.Sort(names)
	out := coordinator.EndpointUpdate{Mode: linkpass.ListDelta}
	for _, name := range slices.Compact(names) {
		was, listed := m.merged[name]
		now, there := m.mergedEndpoint(name)
		switch {
		case !there && listed:
			delete(m.merged, name)
			was.State = linkpass.Gone
			out.Endpoints = append(out.Endpoints, was)
		case there && (!listed || was != now):
			m.merged[name] = now
			out.Endpoints = append(out.Endpoints, now)
		}
	}
	return out
}

// mergedEndpoint is the one line of a server out of both sources.
func (m *Merger) mergedEndpoint(name string) (coordinator.Endpoint, bool) {
	s, ok := m.discovered[name]
	a := m.overrides[name]
	if !ok && a.Added != nil {
		s, ok = *a.Added, true
	}
	if !ok || a.Restriction == restriction.Removed {
		return s, false
	}
	if a.Weight > 0 {
		s.Weight = a.Weight
	}
	if a.Restriction == restriction.Draining {
		s.State = linkpass.Draining
	}
	return s, true
}

func (m *Merger) endpoints() []coordinator.Endpoint {
	out := make([]coordinator.Endpoint, 0, len(m.merged))
	for _, name := range slices.Sorted(maps.Keys(m.merged)) {
		out = append(out, m.merged[name])
	}
	return out
}
