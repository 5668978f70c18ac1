package resharding

import (
	"slices"
	"testing"

	"linkpass/internal/shardmap"
)

// Queries planned before the switch may still request the old replicas, so these stay assigned until the plan is
// retired.
func TestAssignmentsKeepOldShardUntilRetired(t *testing.T) {
	f := newFleet(t, 2)
	f.requestMove(t)
	to := f.m.Plans()[0].To[0].ID
	for _, c := range []struct {
		step     shardmap.PlanStep
		old, new bool
	}{
		{shardmap.Copying, true, true},
		{shardmap.Replicated, true, true},
		{shardmap.Switched, true, true},
		{shardmap.Retired, false, true},
	} {
		replicas := map[shardmap.ShardID][]string{to: {"e", "f"}}
		next, err := f.m.Apply(shardmap.Command{Advance: &shardmap.Advance{Plan: 1, Step: c.step, Replicas: replicas}})
		if err != nil {
			t.Fatal(err)
		}
		f.m = next
		t.Run(string(c.step), func(t *testing.T) {
			assignments := Assignments("i", f.m)
			if got := hasTask(assignments["a"], shardmap.FirstDynamicID); got != c.old {
				t.Errorf("old replica assigned: got %v, want %v", got, c.old)
			}
			if got := hasTask(assignments["e"], to); got != c.new {
				t.Errorf("new replica assigned: got %v, want %v", got, c.new)
			}
		})
	}
}

func hasTask(a Assignment, shard shardmap.ShardID) bool {
	return slices.ContainsFunc(a.Tasks, func(task Task) bool { return task.Shard == shard })
}
