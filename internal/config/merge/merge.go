// Package merge makes one list of servers out of discovery's and the agreed one. It touches no I/O, clock or goroutine; its
// rules stand in docs/design/raft.md.
package merge

import (
	"maps"
	"slices"

	"linkpass"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
)

// Agreed is what instances agree on of a server, as it holds here.
type Agreed struct {
	Hold   restriction.Level
	Weight float64               // 0: discovery's
	Added  *coordinator.Endpoint // as a command added it, in service; nil: only discovery can list it
}

// Merger holds what both sources have said. One goroutine uses it.
type Merger struct {
	discovered map[string]coordinator.Endpoint
	agreed     map[string]Agreed
	out        map[string]coordinator.Endpoint
	cached     bool // discovery's last word is one from before this process
}

// New has heard nothing yet.
func New() *Merger {
	return &Merger{discovered: map[string]coordinator.Endpoint{}, agreed: map[string]Agreed{},
		out: map[string]coordinator.Endpoint{}, cached: true}
}

// Discovery takes discovery's news, and gives the list's. A source that failed keeps its last word: that it failed is
// handed on.
func (m *Merger) Discovery(l coordinator.EndpointUpdate) coordinator.EndpointUpdate {
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
			m.hear(s)
		}
	} else {
		for _, s := range l.Endpoints {
			if was, ok := m.discovered[s.Name]; !ok || s.State == linkpass.Gone || s.Since >= was.Since {
				m.hear(s)
			}
		}
	}
	for _, s := range l.Endpoints {
		names = append(names, s.Name)
	}
	if l.Mode == linkpass.ListDelta {
		return m.changes(names)
	}
	m.changes(append(names, slices.Collect(maps.Keys(m.agreed))...))
	return coordinator.EndpointUpdate{Mode: l.Mode, Endpoints: m.all()}
}

func (m *Merger) hear(s coordinator.Endpoint) {
	if s.Name == "" {
		return
	}
	if s.State == linkpass.Gone {
		delete(m.discovered, s.Name)
		return
	}
	m.discovered[s.Name] = s
}

// Agreed takes what is agreed of a server now, and gives the list's news at once: a drain is told when either source
// tells it.
func (m *Merger) Agreed(now map[string]Agreed) coordinator.EndpointUpdate {
	names := make([]string, 0, len(now))
	for name, a := range now {
		names = append(names, name)
		if a == (Agreed{}) {
			delete(m.agreed, name)
		} else {
			m.agreed[name] = a
		}
	}
	return m.changes(names)
}

// changes finds what is new of some servers.
func (m *Merger) changes(names []string) coordinator.EndpointUpdate {
	slices.Sort(names)
	out := coordinator.EndpointUpdate{Mode: linkpass.ListDelta}
	for _, name := range slices.Compact(names) {
		was, listed := m.out[name]
		now, there := m.line(name)
		switch {
		case !there && listed:
			delete(m.out, name)
			was.State = linkpass.Gone
			out.Endpoints = append(out.Endpoints, was)
		case there && (!listed || was != now):
			m.out[name] = now
			out.Endpoints = append(out.Endpoints, now)
		}
	}
	return out
}

// line is the one line of a server out of both sources.
func (m *Merger) line(name string) (coordinator.Endpoint, bool) {
	s, ok := m.discovered[name]
	a := m.agreed[name]
	if !ok && a.Added != nil {
		s, ok = *a.Added, true
	}
	if !ok || a.Hold == restriction.Removed {
		return s, false
	}
	if a.Weight > 0 {
		s.Weight = a.Weight
	}
	if a.Hold == restriction.Draining {
		s.State = linkpass.Draining
	}
	return s, true
}

func (m *Merger) all() []coordinator.Endpoint {
	out := make([]coordinator.Endpoint, 0, len(m.out))
	for _, name := range slices.Sorted(maps.Keys(m.out)) {
		out = append(out, m.out[name])
	}
	return out
}
