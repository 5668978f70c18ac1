package routing

import (
	"slices"
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

// Guards against keeping servers that left the list for ever, and against dropping one with an attempt in flight.
func TestEndpointListDropsServersThatLeft(t *testing.T) {
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
			t.Fatalf("%d servers listed, want 1; the server with an attempt in flight is known: %v, want true",
				listed, h.server(1) != nil)
		}
	}
	maxKnown := int(unlistedRetention/time.Second) + 4
	if known := len(h.router.endpoints.servers); known > maxKnown {
		t.Errorf("%d servers known, want at most %d", known, maxKnown)
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
		t.Error("a removed placement is still stored")
	}
}

func TestEndpointListCellHolds(t *testing.T) {
	settings := testSettings()
	settings.Cells = 5
	settings.ReplicasPerShard = 3
	endpoints := newEndpointList(&settings)
	for name, c := range map[string]struct {
		shard int
		cells []int // that hold it
	}{
		"first shard":            {0, []int{0, 1, 2}},
		"last cell":              {2, []int{2, 3, 4}},
		"over the end":           {3, []int{0, 3, 4}},
		"starts at the end":      {4, []int{0, 1, 4}},
		"more shards than cells": {7, []int{2, 3, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			for cell := range 2 * settings.Cells { // cells beyond the last one hold nothing
				want := slices.Contains(c.cells, cell)
				if got := endpoints.cellHolds(cell, c.shard); got != want {
					t.Errorf("cell %d holds shard %d: %v, want %v", cell, c.shard, got, want)
				}
			}
		})
	}
}

func TestEndpointListReplicasOf(t *testing.T) {
	const placed = 100
	for name, c := range map[string]struct {
		shard     int
		placement []ServerID
		removed   []ServerID
		want      []ServerID
	}{
		"by cells":                    {0, nil, nil, []ServerID{1, 2}},
		"by cells, over the end":      {2, nil, nil, []ServerID{1, 3}},
		"by cells, one removed":       {0, nil, []ServerID{1}, []ServerID{2}},
		"unknown shard":               {3, nil, nil, nil},
		"placement of another shard":  {placed, []ServerID{3, 1}, nil, []ServerID{1, 3}},
		"placement in place of cells": {0, []ServerID{3}, nil, []ServerID{3}},
		"placement, one unknown":      {placed, []ServerID{77, 2}, nil, []ServerID{2}},
		"placement, one removed":      {placed, []ServerID{1, 2}, []ServerID{1}, []ServerID{2}},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReplicasPerShard = 2
			endpoints := newEndpointList(&settings)
			for _, e := range readyEndpoints(3) {
				endpoints.applyEndpoint(e)
			}
			endpoints.rebuild(time.Minute)
			endpoints.replicasOf(c.shard) // fills the cache: the changes below must clear it
			endpoints.setPlacement(ShardPlacement{Shard: c.shard, Servers: c.placement})
			endpoints.replicasOf(c.shard)
			for _, id := range c.removed {
				endpoints.applyEndpoint(Endpoint{Server: id, State: Removed})
			}
			endpoints.rebuild(time.Minute)
			if got := serverIDs(endpoints.replicasOf(c.shard)); !slices.Equal(got, c.want) {
				t.Errorf("replicas of %d = %v, want %v", c.shard, got, c.want)
			}
		})
	}
}

func TestEndpointListApplyEndpointDetectsRestart(t *testing.T) {
	for name, c := range map[string]struct {
		startedAt time.Duration // of the second update; the first has 10 s
		restarted bool
	}{
		"same start":  {10 * time.Second, false},
		"older start": {5 * time.Second, false},
		"newer start": {20 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			endpoints := newEndpointList(&settings)
			first := Endpoint{Server: 1, State: Ready, StartedAt: 10 * time.Second}
			s, restarted := endpoints.applyEndpoint(first)
			if !restarted {
				t.Error("restarted = false for a new server, want true")
			}
			s.health.byClass[0] = 0.5
			second := Endpoint{Server: 1, State: Ready, StartedAt: c.startedAt}
			if _, restarted := endpoints.applyEndpoint(second); restarted != c.restarted {
				t.Errorf("restarted = %v, want %v", restarted, c.restarted)
			}
			if forgotten := s.health.byClass[0] == 1; forgotten != c.restarted {
				t.Errorf("health is reset: %v, want %v", forgotten, c.restarted)
			}
		})
	}
}
