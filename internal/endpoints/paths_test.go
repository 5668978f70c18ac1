package endpoints

import (
	"context"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
	"linkpass/internal/routing"
	"linkpass/internal/searchconfig"
	_ "linkpass/internal/testrand"
)

// stateLog is a ReplicatedLog whose state the test sets, at an instance that does not lead.
type stateLog struct{ state *config.State }

func (l *stateLog) State() *config.State                      { return l.state }
func (*stateLog) IsLeader() bool                              { return false }
func (*stateLog) SavePending([]restriction.Request) error     { return nil }
func (*stateLog) LoadPending() ([]restriction.Request, error) { return nil, nil }
func (*stateLog) Propose(context.Context, config.Command) (config.Result, error) {
	return config.Result{}, errMessageLost
}

// instance is a Registry with its list and its log.
type instance struct {
	*Registry
	list observedList
	log  *stateLog
}

var pathServers = []string{"s1", "s2", "s3", "s4"}

// newInstance returns an instance whose discovery lists all servers but the last. The log is not attached yet.
func newInstance(initial *config.State) *instance {
	i := &instance{list: observedList{}, log: &stateLog{initial}}
	i.Registry = New(Config{
		InstanceID:  "n1",
		Incarnation: 1,
		OnUpdate:    i.list.update,
		Counters:    metrics.NewCounters(),
		ResolveEndpoint: func(id string, spec config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{Name: id, Addr: spec.Addr, Endpoint: routing.Endpoint{State: routing.Ready, Weight: 1}}, nil
		},
	})
	var discovered []coordinator.Endpoint
	for _, name := range pathServers[:len(pathServers)-1] {
		discovered = append(discovered, endpoint(name, routing.Ready, 1))
	}
	i.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull, Endpoints: discovered})
	return i
}

// inForce returns the servers of the list that are not removed.
func (i *instance) inForce() map[string]coordinator.Endpoint {
	out := maps.Clone(map[string]coordinator.Endpoint(i.list))
	maps.DeleteFunc(out, func(_ string, e coordinator.Endpoint) bool { return e.State == routing.Removed })
	return out
}

// drawServerCommand draws a change of a server, with the request of a restriction if it is one.
func drawServerCommand(t *rapid.T, seq uint64) config.Command {
	server := rapid.SampledFrom(pathServers).Draw(t, "server")
	level := rapid.SampledFrom([]restriction.Level{restriction.Draining, restriction.Removed}).Draw(t, "level")
	return rapid.SampledFrom([]config.Command{
		{Kind: config.RestrictServer, Restriction: requestOf(seq, server, level)},
		{Kind: config.RestrictServer, Restriction: requestOf(seq, server, level)},
		{Kind: config.UndrainServer, Server: server},
		{Kind: config.SetServerWeight, Server: server, Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight"))},
		{Kind: config.AddServer, Server: server, Spec: &config.ServerSpec{Addr: "127.0.0.1:1"}},
	}).Draw(t, "command")
}

// Guards against a state that is in force by one way and not by another: whether an instance heard each change beside the
// log, applied them one by one, got them in a snapshot, joined, was restarted, or read them from the files of another
// process, its list is the same in the end.
func TestListFollowsFromStateByAnyPath(t *testing.T) {
	removals := 0
	rapid.Check(t, func(t *rapid.T) {
		state, _ := config.NewState(&searchconfig.Config{}).Apply(config.Command{Kind: config.ReplaceSettings, Payload: []byte(`{}`)})
		byBroadcast, byLog, bySnapshot, observing := newInstance(state), newInstance(state), newInstance(state), newInstance(state)
		for _, i := range []*instance{byBroadcast, byLog, bySnapshot} {
			i.Attach(i.log)
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "commands") {
			command := drawServerCommand(t, uint64(n+1))
			if command.Restriction != nil {
				if err := byBroadcast.ReceiveRestrictions("n2", []restriction.Request{*command.Restriction}); err != nil {
					t.Fatal(err)
				}
			}
			state, _ = state.Apply(command)
			for _, i := range []*instance{byBroadcast, byLog} {
				i.log.state = state
				i.LogApplied()
			}
			if rapid.Bool().Draw(t, "observe") {
				observing.Observe(state, nil, nil)
			}
		}
		bySnapshot.log.state = state
		bySnapshot.LogApplied()
		observing.Observe(state, nil, nil)
		restarted := newInstance(state)
		restarted.Attach(restarted.log)
		removals += state.RemovedCount()
		want := restarted.inForce()
		for path, i := range map[string]*instance{
			"broadcast": byBroadcast, "log": byLog, "snapshot": bySnapshot, "files": observing,
		} {
			if got := i.inForce(); !maps.Equal(got, want) {
				t.Fatalf("by %s: list = %+v, want %+v as after a restart", path, got, want)
			}
		}
		observing.log.state = state
		observing.Attach(observing.log)
		if got := observing.inForce(); !maps.Equal(got, want) {
			t.Fatalf("by files and then its own log: list = %+v, want %+v", got, want)
		}
	})
	if removals == 0 {
		t.Error("no run removed a server")
	}
}

func (*stateLog) SaveGone(GoneServers) error     { return nil }
func (*stateLog) LoadGone() (GoneServers, error) { return nil, nil }
