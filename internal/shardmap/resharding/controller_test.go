package resharding

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"linkpass/internal/shardmap"
	_ "linkpass/internal/testrand"
)

// Every plan ends, whichever servers die and however often the controller is replaced. As long as one healthy
// replica of each shard survives, every shard has a complete replica.
func TestControllerEndsEveryPlanAndKeepsReplicas(t *testing.T) {
	ended := map[shardmap.PlanStep]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 4)
		for range 120 {
			drawEvent(t, f)
			f.tick(t)
			checkShardsComplete(t, f)
			checkMigrationLimits(t, f)
		}
		f.overloaded = false
		for range 300 {
			f.tick(t)
		}
		if open := f.m.Plans(); len(open) > 0 {
			t.Fatalf("plans still open after five minutes without further events: %+v", open)
		}
		for _, p := range f.m.History() {
			ended[p.Step]++
		}
	})
	if ended[shardmap.Retired] == 0 || ended[shardmap.Abandoned] == 0 {
		t.Errorf("ended plans by step = %v, want some retired and some abandoned", ended)
	}
}

// drawEvent requests a plan, replaces the controller, toggles overload, changes the health
// of a server, or does nothing.
func drawEvent(t *rapid.T, f *fleet) {
	shards := f.m.Shards()
	i := rapid.IntRange(0, len(shards)-1).Draw(t, "shard")
	ids := []shardmap.ShardID{shards[i].ID}
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		f.request(shardmap.PlanRequest{Kind: shardmap.Split, Shards: ids, Pieces: 2})
	case 1:
		ids = append(ids, shards[(i+1)%len(shards)].ID)
		f.request(shardmap.PlanRequest{Kind: shardmap.Merge, Shards: ids})
	case 2:
		set := rapid.SampledFrom([][]string{{"e", "f"}, {"a", "e"}, {"c", "d"}, {"f"}}).Draw(t, "to")
		f.request(shardmap.PlanRequest{Kind: shardmap.Move, Shards: ids, ReplicaSets: [][]string{set}})
	case 3:
		f.controller = New(testLimits)
	case 4:
		f.overloaded = !f.overloaded
	case 5: // a healthy server dies unless it has the last replica of a shard; a dead one recovers without records
		server := rapid.SampledFrom([]string{"e", "f"}).Draw(t, "server")
		if f.healthy[server] && !f.isLastReplica(server) {
			f.kill(server)
		} else {
			f.healthy[server] = true
		}
	}
}

// checkShardsComplete checks that every serving shard has a complete replica.
func checkShardsComplete(t *rapid.T, f *fleet) {
	for _, s := range f.m.Shards() {
		complete := func(server string) bool { return f.hasComplete(server, s.ID) }
		if !slices.ContainsFunc(s.Replicas, complete) {
			t.Fatalf("version %d: no complete replica of shard %d on any of %v", f.m.Version(), s.ID, s.Replicas)
		}
	}
}

func checkMigrationLimits(t *rapid.T, f *fleet) {
	load := newMigrationLoad(f.input().Maps)
	most := slices.Max(append([]int{0}, slices.Collect(maps.Values(load.byServer))...))
	if load.total > testLimits.MaxMigrations || most > testLimits.MaxPerServer {
		t.Fatalf("%d migrations, by server %v; want at most %d and %d per server",
			load.total, load.byServer, testLimits.MaxMigrations, testLimits.MaxPerServer)
	}
}

// A controller that takes over after any step of a plan continues it from the shard map.
func TestControllerContinuesPlanAfterReplacement(t *testing.T) {
	f := newFleet(t, 2)
	f.requestMove(t)
	var steps []shardmap.PlanStep
	last := shardmap.PlanStep("")
	for range 30 {
		f.tick(t)
		if p, ok := f.m.Plan(1); ok && p.Step != last {
			last = p.Step
			steps = append(steps, p.Step)
			f.controller = New(testLimits)
		}
	}
	if want := "[copying both_hold switched retired]"; fmt.Sprint(steps) != want {
		t.Errorf("steps = %v, want %s", steps, want)
	}
	if s, _ := f.m.Find(0); !slices.Equal(s.Replicas, []string{"e", "f"}) {
		t.Errorf("shard of key 0 = %+v, want replicas [e f]", s)
	}
}

// A server that dies or is drained between copying and the switch is left out of the new shard's replicas. If no
// other replica is left, the plan is abandoned and the old replicas keep serving.
func TestControllerReplicaLostBeforeSwitch(t *testing.T) {
	for _, c := range []struct {
		name     string
		healthyF bool
		step     shardmap.PlanStep
		replicas []string
	}{
		{"one of two", true, shardmap.Retired, []string{"f"}},
		{"both", false, shardmap.Abandoned, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.requestMove(t)
			for p, _ := f.m.Plan(1); p.Step != shardmap.Replicated; p, _ = f.m.Plan(1) {
				f.tick(t)
			}
			f.healthy["e"], f.healthy["f"] = false, c.healthyF
			for range 60 {
				f.tick(t)
			}
			p, _ := f.m.Plan(1)
			s, _ := f.m.Find(0)
			if p.Step != c.step || !slices.Equal(s.Replicas, c.replicas) {
				t.Errorf("step = %s, replicas = %v; want %s, %v", p.Step, s.Replicas, c.step, c.replicas)
			}
		})
	}
}
