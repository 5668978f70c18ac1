package endpointmerge

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"linkpass"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	_ "linkpass/internal/seeded"
)

var serverNames = []string{"a", "b", "c"}

func drawEndpoint(t *rapid.T) coordinator.Endpoint {
	return coordinator.Endpoint{
		Name: rapid.SampledFrom(serverNames).Draw(t, "name"),
		Addr: rapid.SampledFrom([]string{"h:1", "h:2"}).Draw(t, "addr"),
		Entry: linkpass.Entry{
			State:  linkpass.ServerState(rapid.IntRange(0, 2).Draw(t, "state")),
			Weight: 1,
			Since:  0,
		},
	}
}

// model is what both sources said last, and the list that the merger's updates add up to.
type model struct {
	merger     *Merger
	discovered map[string]coordinator.Endpoint
	overrides  map[string]Override
	list       map[string]coordinator.Endpoint
}

func newModel() *model {
	return &model{
		merger:     New(),
		discovered: map[string]coordinator.Endpoint{},
		overrides:  map[string]Override{},
		list:       map[string]coordinator.Endpoint{},
	}
}

// apply applies an update of the merger to the list.
func (m *model) apply(update coordinator.EndpointUpdate) {
	if update.Mode == linkpass.ListFailed {
		return
	}
	if update.Mode != linkpass.ListDelta {
		clear(m.list)
	}
	for _, e := range update.Endpoints {
		if e.State == linkpass.Gone {
			delete(m.list, e.Name)
		} else {
			m.list[e.Name] = e
		}
	}
}

func (m *model) delta(t *rapid.T) {
	e := drawEndpoint(t)
	if e.State == linkpass.Gone {
		delete(m.discovered, e.Name)
	} else {
		m.discovered[e.Name] = e
	}
	endpoints := []coordinator.Endpoint{e}
	m.apply(m.merger.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListDelta, Endpoints: endpoints}))
}

func (m *model) full(t *rapid.T) {
	clear(m.discovered)
	update := coordinator.EndpointUpdate{Mode: linkpass.ListFull}
	for _, name := range serverNames {
		if e := drawEndpoint(t); rapid.Bool().Draw(t, "listed") && e.State != linkpass.Gone {
			e.Name = name
			m.discovered[name] = e
			update.Endpoints = append(update.Endpoints, e)
		}
	}
	m.apply(m.merger.ApplyDiscovery(update))
}

func (m *model) failed(*rapid.T) {
	m.apply(m.merger.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListFailed}))
}

func (m *model) override(t *rapid.T) {
	name := rapid.SampledFrom(serverNames).Draw(t, "name")
	override := Override{
		Restriction: restriction.Level(rapid.IntRange(0, 2).Draw(t, "restriction")),
		Weight:      float64(rapid.IntRange(0, 2).Draw(t, "weight")),
	}
	if rapid.Bool().Draw(t, "added") {
		entry := linkpass.Entry{State: linkpass.Ready, Weight: 1}
		override.Added = &coordinator.Endpoint{Name: name, Addr: "added:1", Entry: entry}
	}
	m.overrides[name] = override
	m.apply(m.merger.ApplyOverrides(map[string]Override{name: override}))
}

// want is the list by the rules of docs/design/raft.md.
func (m *model) want() map[string]coordinator.Endpoint {
	want := map[string]coordinator.Endpoint{}
	for _, name := range serverNames {
		e, listed := m.discovered[name]
		override := m.overrides[name]
		if !listed && override.Added == nil || override.Restriction == restriction.Removed {
			continue
		}
		if !listed {
			e = *override.Added
		}
		if override.Restriction == restriction.Draining {
			e.State = linkpass.Draining
		}
		if override.Weight > 0 {
			e.Weight = override.Weight
		}
		want[name] = e
	}
	return want
}

// Whatever both sources send, in any order, the updates add up to the list that the rules make of the last
// state of both; a restriction is in effect in the very update that brings it, and stays while either source
// has it.
func TestMergedListFollowsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"delta":    m.delta,
			"full":     m.full,
			"failed":   m.failed,
			"override": m.override,
			"": func(t *rapid.T) {
				if want := m.want(); !maps.Equal(m.list, want) {
					t.Fatalf("%v, want %v", m.list, want)
				}
			},
		})
	})
}

// Outdated endpoints change nothing: neither a list from before this process, nor an earlier start of a
// server's process.
func TestApplyDiscoveryIgnoresOutdatedEndpoints(t *testing.T) {
	m := New()
	entry := linkpass.Entry{State: linkpass.Draining, Since: 20}
	current := coordinator.Endpoint{Name: "a", Addr: "h:2", Entry: entry}
	m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListFull, Endpoints: []coordinator.Endpoint{current}})
	outdated := current
	outdated.Since, outdated.State, outdated.Addr = 10, linkpass.Ready, "h:1"
	for _, c := range []struct {
		name string
		mode linkpass.ListMode
	}{
		{"delta", linkpass.ListDelta},
		{"full", linkpass.ListFull},
		{"cached", linkpass.ListCached},
	} {
		t.Run(c.name, func(t *testing.T) {
			m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: c.mode, Endpoints: []coordinator.Endpoint{outdated}})
			if got := m.endpoints(); !slices.Equal(got, []coordinator.Endpoint{current}) {
				t.Errorf("%+v, want %+v", got, current)
			}
		})
	}
	next := current
	next.Since, next.State = 30, linkpass.Ready
	update := m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListDelta, Endpoints: []coordinator.Endpoint{next}})
	if !slices.Contains(update.Endpoints, next) {
		t.Errorf("a later start: %+v", update)
	}
}
