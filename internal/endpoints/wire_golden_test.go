package endpoints

import (
	"context"
	"encoding/json"
	"reflect"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/coordinator"
	"linkpass/internal/goldentest"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
)

// followerLog is the ReplicatedLog of an instance that is not the leader. Its state does not change.
type followerLog struct{ state *config.State }

func (l followerLog) State() *config.State { return l.state }
func (followerLog) IsLeader() bool         { return false }

func (followerLog) SavePending([]restriction.Request) error     { return nil }
func (followerLog) LoadPending() ([]restriction.Request, error) { return nil, nil }
func (followerLog) Propose(context.Context, config.Command) (config.Result, error) {
	panic("Propose called on a follower")
}

// newFollowerRegistry returns the registry of an instance that is not the leader and has two servers in its
// replicated state.
func newFollowerRegistry(t *testing.T, name string, incarnation uint64) *Registry {
	t.Helper()
	state, r := config.NewState(&searchconfig.Config{}).Apply(config.Command{
		Kind:    config.ReplaceSettings,
		Payload: []byte(`{"search":{}}`),
	})
	if r.Reason != config.Applied {
		t.Fatal(r)
	}
	for _, server := range []string{"s-1", "s-2"} {
		state, r = state.Apply(config.Command{
			Kind:   config.AddServer,
			Server: server,
			Spec:   &config.ServerSpec{Addr: "127.0.0.1:7001"},
		})
		if r.Reason != config.Applied {
			t.Fatal(r)
		}
	}
	registry := New(Config{
		InstanceID:  name,
		Incarnation: incarnation,
		OnUpdate:    func(coordinator.EndpointUpdate) {},
		Counters:    metrics.NewCounters(),
		ResolveEndpoint: func(id string, _ config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{Name: id}, nil
		},
	})
	registry.Attach(followerLog{state})
	return registry
}

// goldenOrigin is the instance "a" in its only incarnation.
var goldenOrigin = restriction.Origin{Instance: "a", Incarnation: 1764652800123456789}

// goldenRequests are the restriction requests of instance "a" that the golden file holds in their wire format.
var goldenRequests = []restriction.Request{
	{
		ID:     restriction.ID{Origin: goldenOrigin, Seq: 1},
		Server: "s-1",
		Level:  restriction.Draining,
	},
	{
		ID:     restriction.ID{Origin: goldenOrigin, Seq: 2},
		Server: "s-2",
		Level:  restriction.Removed,
		Force:  true,
	},
}

func TestRequestsGolden(t *testing.T) { goldentest.JSON(t, "orders_request.json", goldenRequests) }

// The restrictions that an instance issues are broadcast in the format of the golden file.
func TestBroadcastRequestsGolden(t *testing.T) {
	a := newFollowerRegistry(t, goldenOrigin.Instance, goldenOrigin.Incarnation)
	for _, request := range goldenRequests {
		if _, err := a.Restrict(request.Server, request.Level, request.Force); err != nil {
			t.Fatal(err)
		}
	}
	calls := 0
	send := func(_ context.Context, requests []restriction.Request) error {
		calls++
		goldentest.Encodes(t, "orders_request.json", requests)
		return nil
	}
	a.broadcast(context.Background(), "b", send, a.requestsToBroadcast(), map[restriction.ID]bool{})
	if calls != 1 {
		t.Errorf("%d calls of the broadcast function, want 1", calls)
	}
}

// An instance that receives the requests of the golden file has all of them pending.
func TestReceiveGoldenRequests(t *testing.T) {
	b := newFollowerRegistry(t, "b", 5)
	var requests []restriction.Request
	if err := json.Unmarshal(goldentest.Read(t, "orders_request.json"), &requests); err != nil {
		t.Fatal(err)
	}
	if err := b.ReceiveRestrictions("a", requests); err != nil {
		t.Fatal(err)
	}
	if got := b.PendingRestrictions(); !reflect.DeepEqual(got, goldenRequests) {
		t.Errorf("pending requests = %+v, want %+v", got, goldenRequests)
	}
}

func (followerLog) SaveGone(GoneServers) error     { return nil }
func (followerLog) LoadGone() (GoneServers, error) { return nil, nil }
