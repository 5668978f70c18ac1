package replan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
	_ "linkpass/internal/testrand"
)

// drawSwitchedPlan draws a plan and returns the version in which it is retired.
func drawSwitchedPlan(t *rapid.T, m *shardmap.Map) *shardmap.Map {
	request := drawPlanRequest(t, m.Shards())
	m, err := m.Apply(shardmap.Command{Request: &request})
	if err != nil {
		t.Fatal(err)
	}
	p := m.Plans()[len(m.Plans())-1]
	advance := shardmap.Advance{Plan: p.ID, Replicas: map[shardmap.ShardID][]string{}}
	for _, s := range p.To {
		advance.Replicas[s.ID] = s.Replicas
	}
	for _, step := range []shardmap.PlanStep{
		shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired,
	} {
		advance.Step = step
		if m, err = m.Apply(shardmap.Command{Advance: &advance}); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func drawPlanRequest(t *rapid.T, shards []shardmap.Shard) shardmap.PlanRequest {
	i := rapid.IntRange(0, len(shards)-1).Draw(t, "shard")
	ids := []shardmap.ShardID{shards[i].ID}
	pieces := rapid.IntRange(2, 3).Draw(t, "into")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		if i+1 < len(shards) {
			return shardmap.PlanRequest{Kind: shardmap.Merge, Shards: append(ids, shards[i+1].ID)}
		}
	case 1:
		return shardmap.PlanRequest{Kind: shardmap.Move, Shards: ids, ReplicaSets: [][]string{{"z"}}}
	}
	return shardmap.PlanRequest{Kind: shardmap.Split, Shards: ids, Pieces: pieces}
}

// For any changes of the shard map and any states of the parts, the parts request every key exactly once at all
// times. Each new part requests keys of one shard, the number of rounds is bounded, and a part is replaced by no
// more parts than there are shards that serve its keys.
func TestReplanRequestsEveryKeyOnce(t *testing.T) {
	merged := 0
	rapid.Check(t, func(t *rapid.T) {
		m, err := shardmap.NewEven(rapid.IntRange(1, 6).Draw(t, "n"), [][]string{{"a"}, {"b"}})
		if err != nil {
			t.Fatal(err)
		}
		requested := shardmap.FullRange
		requested.First = shardmap.FullRange.Split(7)[rapid.IntRange(0, 3).Draw(t, "from")].First
		parts := Plan(m, []shardmap.Range{requested})
		replanned := 0
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			m = drawSwitchedPlan(t, m)
			for {
				change, found := replanAny(t, m, parts)
				if !found {
					break
				}
				merged += len(change.Drop) - 1
				replanned++
				parts = applyChange(parts, change)
				checkKeysRequestedOnce(t, parts, requested)
			}
			checkKeysRequestedOnce(t, parts, requested)
			for i := range parts {
				if parts[i].State == Pending {
					parts[i].State = PartState(rapid.IntRange(0, 2).Draw(t, "state"))
				}
			}
		}
		if replanned > 200 {
			t.Fatalf("replanned %d times, want at most 200", replanned)
		}
	})
	if merged == 0 {
		t.Error("no run merged a sibling")
	}
}

// replanAny replans the first part that is not answered, whose shard no longer serves its range and that has
// rounds left. It reports false if there is none.
func replanAny(t *rapid.T, m *shardmap.Map, parts []Part) (Change, bool) {
	for i, p := range parts {
		if s, ok := m.Shard(p.Shard); ok && s.Range.Covers(p.Range) || p.State == Answered {
			continue
		}
		change, reason := Replan(m, parts, i, time.Second, time.Millisecond)
		if reason == RoundsExhausted && p.Round >= MaxRounds {
			continue
		}
		if reason != Replanned {
			t.Fatalf("part %+v was not replanned: %s", p, reason)
		}
		serving := 0
		m.ForEach(p.Range, func(shardmap.Shard) bool {
			serving++
			return true
		})
		if len(change.Add) != serving {
			t.Fatalf("%d new parts, want %d, one for each shard", len(change.Add), serving)
		}
		return change, true
	}
	return Change{}, false
}

func applyChange(parts []Part, change Change) (out []Part) {
	for i, p := range parts {
		if !slices.Contains(change.Drop, i) {
			out = append(out, p)
		}
	}
	return append(out, change.Add...)
}

func checkKeysRequestedOnce(t *rapid.T, parts []Part, requested shardmap.Range) {
	tracker := coverage.NewTracker(requested)
	for _, p := range parts {
		if !tracker.Record(p.Range) {
			t.Fatalf("keys of %s are requested twice or not needed", p.Range)
		}
	}
	if !tracker.Complete() {
		t.Fatalf("ranges %v are not requested", tracker.Missing())
	}
}

func TestReplanReasons(t *testing.T) {
	m, err := shardmap.NewEven(2, [][]string{{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	replaced := Part{Shard: 1, Range: shardmap.FullRange}
	serving := Plan(m, []shardmap.Range{shardmap.FullRange})
	for _, c := range []struct {
		name                string
		m                   *shardmap.Map
		parts               []Part
		remaining, required time.Duration
		want                Reason
	}{
		{"no map", nil, []Part{replaced}, time.Second, 0, NoNewerMap},
		{"deadline", m, []Part{replaced}, time.Millisecond, time.Millisecond, DeadlineTooClose},
		{"rounds", m, []Part{{Round: MaxRounds}}, time.Second, 0, RoundsExhausted},
		{"answered", m, []Part{{State: Answered}}, time.Second, 0, AlreadyAnswered},
		// A server may report a version that does not exist.
		{"shard serves", m, serving, time.Second, 0, NoNewerMap},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, reason := Replan(c.m, c.parts, 0, c.remaining, c.required); reason != c.want {
				t.Errorf("reason = %q, want %q", reason, c.want)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		m, err := shardmap.NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		var requested []shardmap.Range // eight single keys, as requested by a search with routing values
		for i := range 8 {
			k := shardmap.HashKey(fmt.Sprint(i))
			requested = append(requested, shardmap.Range{First: k, Last: k})
		}
		b.Run(fmt.Sprintf("slices=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(Plan(m, requested)) != 8 {
					b.Fatal("Plan did not return 8 parts")
				}
			}
		})
	}
}
