package endpointmerge

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
	_ "linkpass/internal/testrand"
)

var serverNames = []string{"a", "b", "c"}

func drawEndpoint(t *rapid.T) coordinator.Endpoint {
	return coordinator.Endpoint{
		Name: rapid.SampledFrom(serverNames).Draw(t, "name"),
		Addr: rapid.SampledFrom([]string{"h:1", "h:2"}).Draw(t, "addr"),
		Endpoint: routing.Endpoint{
			State:     routing.EndpointState(rapid.IntRange(0, 2).Draw(t, "state")),
			Weight:    1,
			StartedAt: 0,
		},
	}
}

// model is a reference for a Merger: the latest data from both sources, and the list that results from the Merger's
// updates.
type model struct {
	merger     *Merger
	discovered map[string]coordinator.Endpoint
	overrides  map[string]Override
	gone       map[string]bool // added servers that discovery has told gone since
	list       map[string]coordinator.Endpoint
}

func newModel() *model {
	return &model{
		merger:     New(),
		discovered: map[string]coordinator.Endpoint{},
		overrides:  map[string]Override{},
		gone:       map[string]bool{},
		list:       map[string]coordinator.Endpoint{},
	}
}

// apply applies an update returned by the Merger to the list.
func (m *model) apply(update coordinator.EndpointUpdate) {
	if update.Mode == routing.UpdateFailed {
		return
	}
	if update.Mode != routing.UpdateDelta {
		clear(m.list)
	}
	for _, e := range update.Endpoints {
		if e.State == routing.Removed {
			delete(m.list, e.Name)
		} else {
			m.list[e.Name] = e
		}
	}
}

func (m *model) delta(t *rapid.T) {
	e := drawEndpoint(t)
	if e.State == routing.Removed {
		delete(m.discovered, e.Name)
	} else {
		m.discovered[e.Name] = e
	}
	m.gone[e.Name] = e.State == routing.Removed && m.overrides[e.Name].Added != nil
	endpoints := []coordinator.Endpoint{e}
	m.apply(m.merger.ApplyDiscovery(coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: endpoints}))
}

func (m *model) full(t *rapid.T) {
	before := maps.Clone(m.discovered)
	clear(m.discovered)
	update := coordinator.EndpointUpdate{Mode: routing.UpdateFull}
	for _, name := range serverNames {
		if e := drawEndpoint(t); rapid.Bool().Draw(t, "listed") && e.State != routing.Removed {
			e.Name = name
			m.discovered[name] = e
			update.Endpoints = append(update.Endpoints, e)
		}
		_, listed := m.discovered[name]
		_, wasListed := before[name]
		m.gone[name] = !listed && m.overrides[name].Added != nil && (wasListed || m.gone[name])
	}
	m.apply(m.merger.ApplyDiscovery(update))
}

func (m *model) failed(*rapid.T) {
	m.apply(m.merger.ApplyDiscovery(coordinator.EndpointUpdate{Mode: routing.UpdateFailed}))
}

func (m *model) override(t *rapid.T) {
	name := rapid.SampledFrom(serverNames).Draw(t, "name")
	override := Override{
		Restriction: restriction.Level(rapid.IntRange(0, 2).Draw(t, "restriction")),
		Weight:      float64(rapid.IntRange(0, 2).Draw(t, "weight")),
	}
	if rapid.Bool().Draw(t, "added") {
		entry := routing.Endpoint{State: routing.Ready, Weight: 1}
		override.Added = &coordinator.Endpoint{Name: name, Addr: "added:1", Endpoint: entry}
	}
	if (override.Added == nil) != (m.overrides[name].Added == nil) {
		m.gone[name] = false
	}
	m.overrides[name] = override
	m.apply(m.merger.ApplyOverrides(map[string]Override{name: override}))
}

// want returns the expected list according to the rules of docs/design/raft.md.
func (m *model) want() map[string]coordinator.Endpoint {
	want := map[string]coordinator.Endpoint{}
	for _, name := range serverNames {
		e, listed := m.discovered[name]
		override := m.overrides[name]
		if !listed && (override.Added == nil || m.gone[name]) || override.Restriction == restriction.Removed {
			continue
		}
		if !listed {
			e = *override.Added
		}
		if override.Restriction == restriction.Draining {
			e.State = routing.Draining
		}
		if override.Weight > 0 {
			e.Weight = override.Weight
		}
		want[name] = e
	}
	return want
}

// Whatever both sources send and in whatever order, the updates result in the list that the rules produce from the
// latest data of both. A restriction is in effect in the first update after it arrives, and stays in effect while
// either source has it.
func TestMergerUpdatesFollowRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"delta":    m.delta,
			"full":     m.full,
			"failed":   m.failed,
			"override": m.override,
			"": func(t *rapid.T) {
				if want := m.want(); !maps.Equal(m.list, want) {
					t.Fatalf("merged list = %v, want %v", m.list, want)
				}
			},
		})
	})
}

// Outdated endpoints change nothing. An endpoint is outdated if it comes from an earlier start of the server's process,
// or from a cached list, which dates from before this process, after a newer list was received.
func TestApplyDiscoveryIgnoresOutdatedEndpoints(t *testing.T) {
	m := New()
	entry := routing.Endpoint{State: routing.Draining, StartedAt: 20}
	current := coordinator.Endpoint{Name: "a", Addr: "h:2", Endpoint: entry}
	m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: []coordinator.Endpoint{current}})
	outdated := current
	outdated.StartedAt, outdated.State, outdated.Addr = 10, routing.Ready, "h:1"
	for _, c := range []struct {
		name string
		mode routing.UpdateMode
	}{
		{"delta", routing.UpdateDelta},
		{"full", routing.UpdateFull},
		{"cached", routing.UpdateCached},
	} {
		t.Run(c.name, func(t *testing.T) {
			m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: c.mode, Endpoints: []coordinator.Endpoint{outdated}})
			if got := m.endpoints(); !slices.Equal(got, []coordinator.Endpoint{current}) {
				t.Errorf("endpoints = %+v, want only %+v", got, current)
			}
		})
	}
	next := current
	next.StartedAt, next.State = 30, routing.Ready
	update := m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: routing.UpdateDelta, Endpoints: []coordinator.Endpoint{next}})
	if !slices.Contains(update.Endpoints, next) {
		t.Errorf("update after a later start = %+v, want it to contain %+v", update, next)
	}
}

// Guards against parts to a server that is gone: an operator added it, discovery listed it later, and then told that it
// is gone. Only discovery, or an operator's change of its endpoint, brings it back.
func TestAddedServerThatDiscoveryTellsGoneStaysOut(t *testing.T) {
	added := coordinator.Endpoint{Name: "a", Addr: "h:1", Endpoint: routing.Endpoint{State: routing.Ready, Weight: 1}}
	removed := added
	removed.State = routing.Removed
	update := func(mode routing.UpdateMode, endpoints ...coordinator.Endpoint) coordinator.EndpointUpdate {
		return coordinator.EndpointUpdate{Mode: mode, Endpoints: endpoints}
	}
	for name, gone := range map[string]coordinator.EndpointUpdate{
		"delta":     update(routing.UpdateDelta, removed),
		"full list": update(routing.UpdateFull),
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			m.ApplyOverrides(map[string]Override{"a": {Added: &added}})
			if len(m.endpoints()) != 1 {
				t.Fatal("the added server is not in service before discovery lists it")
			}
			m.ApplyDiscovery(update(routing.UpdateFull, added))
			m.ApplyDiscovery(gone)
			m.ApplyOverrides(map[string]Override{"a": {Added: &added, Weight: 2}})
			m.ApplyDiscovery(update(routing.UpdateFull))
			if got := m.endpoints(); len(got) != 0 {
				t.Errorf("endpoints = %+v, want none: discovery told that the server is gone", got)
			}
			moved := added
			moved.Addr = "h:2"
			m.ApplyOverrides(map[string]Override{"a": {Added: &moved}})
			if got := m.endpoints(); !slices.Equal(got, []coordinator.Endpoint{moved}) {
				t.Errorf("endpoints after a change by an operator = %+v, want %+v", got, moved)
			}
		})
	}
}

// Guards against a drain that is skipped: discovery told a server with its start, and tells its drain with the start
// 0, for long ago. The known start stays, so that what was told of an earlier one is still outdated.
func TestDrainWithUnknownStartCounts(t *testing.T) {
	ready := coordinator.Endpoint{Name: "a", Addr: "h:1", Endpoint: routing.Endpoint{State: routing.Ready, StartedAt: 20}}
	draining := ready
	draining.State, draining.StartedAt = routing.Draining, 0
	want := ready
	want.State = routing.Draining
	for _, mode := range []routing.UpdateMode{routing.UpdateDelta, routing.UpdateFull} {
		m := New()
		apply := func(mode routing.UpdateMode, e coordinator.Endpoint) {
			m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: mode, Endpoints: []coordinator.Endpoint{e}})
		}
		apply(routing.UpdateFull, ready)
		apply(mode, draining)
		if got := m.endpoints(); !slices.Equal(got, []coordinator.Endpoint{want}) {
			t.Errorf("endpoints after the drain = %+v, want %+v", got, want)
		}
		earlier := ready
		earlier.StartedAt = 0
		apply(routing.UpdateDelta, earlier)
		if got := m.endpoints(); !slices.Equal(got, []coordinator.Endpoint{want}) {
			t.Errorf("endpoints after an outdated change = %+v, want %+v", got, want)
		}
	}
}
