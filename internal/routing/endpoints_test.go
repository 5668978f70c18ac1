package routing

import (
	"testing"
	"time"
)

func TestFullEndpointUpdateRemovesServersNotListed(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, readyEndpoint(2, 1))
	h.startQuery(10, 0, 0)
	if checks := wantActions[HealthCheck](t, h.actions, 1); checks[0].Server != 2 {
		t.Errorf("health check sent to %d, want 2", checks[0].Server)
	}
}

// Guards against a leak of servers that left the list, and against forgetting one with an attempt in flight.
func TestEndpointListForgetsServersThatLeft(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, readyEndpoint(1, 0))
	h.startQuery(10, 0, 0)
	h.sendAfterChecks(1)
	for id := ServerID(100); id < 1100; id++ {
		h.now += time.Second
		h.updateEndpoints(UpdateDelta, readyEndpoint(id, 1),
			Endpoint{Server: id - 1, State: Removed}, Endpoint{Server: 1, State: Removed})
		h.server(id).inFlight.lastSentAt = h.now
		if listed := len(h.router.endpoints.listed); listed != 1 || h.server(1) == nil {
			t.Fatalf("%d servers listed, want 1; the one with an attempt in flight is known: %v",
				listed, h.server(1) != nil)
		}
	}
	most := int(unlistedRetention/time.Second) + 4
	if known := len(h.router.endpoints.servers); known > most {
		t.Errorf("%d servers are known, want at most %d", known, most)
	}
}

func TestShardPlacementReplacesCells(t *testing.T) {
	h := newHarness(t, testSettings())
	const shard = 1 << 20
	h.turn(ShardPlacement{Shard: shard, Servers: []ServerID{2, 77}})
	h.startQuery(10, 0, shard)
	h.sendAfterChecks(2)
	h.turn(ShardPlacement{Shard: shard})
	h.startQuery(20, 0, shard)
	wantActions[Reject](t, h.actions, 1)
	if len(h.router.endpoints.placements) != 0 {
		t.Error("a placement that was removed is still held")
	}
}
