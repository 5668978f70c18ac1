package endpointmerge

import (
	"fmt"
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

func drawEndpoint(t *rapid.T, label string) coordinator.Endpoint {
	return coordinator.Endpoint{Name: rapid.SampledFrom(serverNames).Draw(t, label+" name"), Addr: rapid.SampledFrom([]string{"h:1", "h:2"}).Draw(t, label+" addr"),
		Entry: linkpass.Entry{State: linkpass.ServerState(rapid.IntRange(0, 2).Draw(t, label+" state")), Weight: 1, Since: 0}}
}

// Whatever both sources say, in whatever order, the list that the news add up to is what the rules make of the two last
// words; a restriction holds in the very news that bring it, and none is lifted while either source holds it.
func TestMergedListFollowsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		discovered, overrides := map[string]coordinator.Endpoint{}, map[string]Override{}
		list := map[string]coordinator.Endpoint{}
		apply := func(l coordinator.EndpointUpdate) {
			if l.Mode == linkpass.ListFailed {
				return
			}
			if l.Mode != linkpass.ListDelta {
				clear(list)
			}
			for _, s := range l.Endpoints {
				if s.State == linkpass.Gone {
					delete(list, s.Name)
				} else {
					list[s.Name] = s
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"delta": func(t *rapid.T) {
				s := drawEndpoint(t, "s")
				if s.State == linkpass.Gone {
					delete(discovered, s.Name)
				} else {
					discovered[s.Name] = s
				}
				apply(m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListDelta, Endpoints: []coordinator.Endpoint{s}}))
			},
			"full": func(t *rapid.T) {
				clear(discovered)
				l := coordinator.EndpointUpdate{Mode: linkpass.ListFull}
				for _, name := range serverNames {
					if s := drawEndpoint(t, "s"); rapid.Bool().Draw(t, "listed") && s.State != linkpass.Gone {
						s.Name = name
						discovered[name] = s
						l.Endpoints = append(l.Endpoints, s)
					}
				}
				apply(m.ApplyDiscovery(l))
			},
			"failed": func(_ *rapid.T) { apply(m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListFailed})) },
			"overrides": func(t *rapid.T) {
				name := rapid.SampledFrom(serverNames).Draw(t, "name")
				a := Override{Restriction: restriction.Level(rapid.IntRange(0, 2).Draw(t, "hold")), Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))}
				if rapid.Bool().Draw(t, "added") {
					a.Added = &coordinator.Endpoint{Name: name, Addr: "added:1", Entry: linkpass.Entry{State: linkpass.Ready, Weight: 1}}
				}
				overrides[name] = a
				apply(m.ApplyOverrides(map[string]Override{name: a}))
			},
			"": func(t *rapid.T) {
				want := map[string]coordinator.Endpoint{}
				for _, name := range serverNames {
					s, ok := discovered[name]
					a := overrides[name]
					if !ok && a.Added == nil || a.Restriction == restriction.Removed {
						continue
					}
					if !ok {
						s = *a.Added
					}
					if a.Restriction == restriction.Draining {
						s.State = linkpass.Draining
					}
					if a.Weight > 0 {
						s.Weight = a.Weight
					}
					want[name] = s
				}
				if !maps.Equal(list, want) {
					t.Fatalf("%v, want %v", list, want)
				}
			},
		})
	})
}

// A source that comes back with the past changes nothing: neither a list from before this process, nor an older start of a
// server's process.
func TestApplyDiscoveryIgnoresOutdatedEndpoints(t *testing.T) {
	m := New()
	s := coordinator.Endpoint{Name: "a", Addr: "h:2", Entry: linkpass.Entry{State: linkpass.Draining, Since: 20}}
	m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListFull, Endpoints: []coordinator.Endpoint{s}})
	old := s
	old.Since, old.State, old.Addr = 10, linkpass.Ready, "h:1"
	for _, mode := range []linkpass.ListMode{linkpass.ListDelta, linkpass.ListFull, linkpass.ListCached} {
		m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: mode, Endpoints: []coordinator.Endpoint{old}})
		if got := fmt.Sprint(m.endpoints()); got != fmt.Sprint([]coordinator.Endpoint{s}) {
			t.Errorf("mode %d: %s", mode, got)
		}
	}
	next := s
	next.Since, next.State = 30, linkpass.Ready
	if l := m.ApplyDiscovery(coordinator.EndpointUpdate{Mode: linkpass.ListDelta, Endpoints: []coordinator.Endpoint{next}}); !slices.Contains(l.Endpoints, next) {
		t.Errorf("a new process: %v", l)
	}
}
