package endpoints

import (
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
	"linkpass/internal/searchconfig"
)

// observedList is the list that a Registry has passed on, by the servers' names.
type observedList map[string]coordinator.Endpoint

func (l observedList) update(u coordinator.EndpointUpdate) {
	for _, e := range u.Endpoints {
		l[e.Name] = e
	}
}

func endpoint(name string, state routing.EndpointState, weight float64) coordinator.Endpoint {
	return coordinator.Endpoint{Name: name, Endpoint: routing.Endpoint{State: state, Weight: weight}}
}

// applyAll returns the state after commands, each of which must be applied.
func applyAll(t *testing.T, s *config.State, commands ...config.Command) *config.State {
	t.Helper()
	for _, c := range commands {
		next, result := s.Apply(c)
		if result.Reason != config.Applied {
			t.Fatalf("command %+v: result = %+v, want Applied", c, result)
		}
		s = next
	}
	return s
}

// restrict returns the command that settles a request of another process.
func restrict(seq uint64, server string, level restriction.Level) config.Command {
	return config.Command{Kind: config.RestrictServer, Restriction: requestOf(seq, server, level)}
}

func requestOf(seq uint64, server string, level restriction.Level) *restriction.Request {
	id := restriction.ID{Origin: restriction.Origin{Instance: "n1", Incarnation: 1}, Seq: seq}
	return &restriction.Request{ID: id, Server: server, Level: level}
}

// Guards against a process that serves without the overrides of the log, which another process has open: what it is shown
// is in force, nothing of it is broadcast or proposed here, and what is settled there as rejected ends here.
func TestObservedStateIsInForceBeforeAttach(t *testing.T) {
	list := observedList{}
	r := New(Config{InstanceID: "n1", Incarnation: 2, OnUpdate: list.update, Counters: metrics.NewCounters()})
	var discovered []coordinator.Endpoint
	for _, name := range []string{"drained", "removed", "weighted", "pending", "sound"} {
		discovered = append(discovered, endpoint(name, routing.Ready, 1))
	}
	r.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: discovered})
	state := applyAll(t, config.NewState(&searchconfig.Config{}),
		config.Command{Kind: config.ReplaceSettings, Payload: []byte(`{}`)},
		restrict(1, "drained", restriction.Draining),
		restrict(2, "removed", restriction.Removed),
		config.Command{Kind: config.SetServerWeight, Server: "weighted", Weight: 3})
	r.Observe(state, []restriction.Request{*requestOf(3, "pending", restriction.Draining)}, nil)
	for name, want := range map[string]coordinator.Endpoint{
		"drained":  endpoint("drained", routing.Draining, 1),
		"removed":  endpoint("removed", routing.Removed, 1),
		"weighted": endpoint("weighted", routing.Ready, 3),
		"pending":  endpoint("pending", routing.Draining, 1),
		"sound":    endpoint("sound", routing.Ready, 1),
	} {
		if list[name] != want {
			t.Errorf("%s = %+v, want %+v", name, list[name], want)
		}
	}
	if len(r.requestsToBroadcast()) > 0 || len(r.requestsToPropose()) > 0 {
		t.Error("requests of the other process are broadcast or proposed here too")
	}
	undrain := config.Command{Kind: config.UndrainServer, Server: "drained"}
	withdraw := config.Command{Kind: config.UndrainServer, Server: "pending",
		WithdrawnIDs: []restriction.ID{requestOf(3, "pending", restriction.Draining).ID}}
	r.Observe(applyAll(t, state, undrain, withdraw), nil, nil)
	for _, name := range []string{"drained", "pending"} {
		if list[name].State != routing.Ready {
			t.Errorf("%s after it was undrained = %+v, want it ready", name, list[name])
		}
	}
}
