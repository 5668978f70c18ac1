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

// followerLog is the log of an instance that does not lead, with settings agreed and nothing else.
type followerLog struct{ state *config.State }

func (l followerLog) State() *config.State                        { return l.state }
func (followerLog) IsLeader() bool                                { return false }
func (followerLog) Propose(config.Command) (config.Result, error) { panic("a follower was asked") }

func newInstance(t *testing.T, name string, incarnation uint64) *Registry {
	t.Helper()
	state, r := config.NewState(&searchconfig.Config{}).Apply(config.Command{Kind: config.ReplaceSettings, Payload: []byte(`{"search":{}}`)})
	if r.Reason != config.Applied {
		t.Fatal(r)
	}
	for _, server := range []string{"s-1", "s-2"} {
		state, r = state.Apply(config.Command{Kind: config.AddServer, Server: server, Spec: &config.ServerSpec{Addr: "127.0.0.1:7001"}})
		if r.Reason != config.Applied {
			t.Fatal(r)
		}
	}
	a := New(Config{InstanceID: name, Incarnation: incarnation, OnUpdate: func(coordinator.EndpointUpdate) {}, Counters: metrics.NewCounters(),
		ResolveEndpoint: func(id string, _ config.ServerSpec) (coordinator.Endpoint, error) {
			return coordinator.Endpoint{Name: id}, nil
		}})
	a.Attach(followerLog{state})
	return a
}

// goldenRequests are the requests of an instance "a", as its calls to the others carry them.
var goldenRequests = []restriction.Request{
	{ID: restriction.ID{Origin: restriction.Origin{Instance: "a", Incarnation: 1764652800123456789}, Seq: 1}, Server: "s-1", Level: restriction.Draining},
	{ID: restriction.ID{Origin: restriction.Origin{Instance: "a", Incarnation: 1764652800123456789}, Seq: 2}, Server: "s-2", Level: restriction.Removed, Force: true},
}

func TestRequestsGolden(t *testing.T) { goldentest.JSON(t, "orders_request.json", goldenRequests) }

// What an instance gives is told in the golden form.
func TestBroadcastRequestsGolden(t *testing.T) {
	a := newInstance(t, "a", 1764652800123456789)
	for _, o := range goldenRequests {
		if _, err := a.Restrict(o.Server, o.Level, o.Force); err != nil {
			t.Fatal(err)
		}
	}
	calls := 0
	a.broadcast(context.Background(), "b", func(_ context.Context, requests []restriction.Request) error {
		calls++
		goldentest.Encodes(t, "orders_request.json", requests)
		return nil
	}, a.toBroadcast(), map[restriction.ID]bool{})
	if calls != 1 {
		t.Errorf("%d calls", calls)
	}
}

// Another instance takes the golden requests and holds them all.
func TestReceiveGoldenRequests(t *testing.T) {
	b := newInstance(t, "b", 5)
	var requests []restriction.Request
	if err := json.Unmarshal(goldentest.Read(t, "orders_request.json"), &requests); err != nil {
		t.Fatal(err)
	}
	if err := b.ReceiveRestrictions("a", requests); err != nil {
		t.Fatal(err)
	}
	if got := b.PendingRestrictions(); !reflect.DeepEqual(got, goldenRequests) {
		t.Errorf("got %+v, want %+v", got, goldenRequests)
	}
}
