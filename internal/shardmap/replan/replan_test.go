package replan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// reshape carries one change through to its switch.
func drawSwitchedPlan(t *rapid.T, l *shardmap.Map) *shardmap.Map {
	all := l.Shards()
	i := rapid.IntRange(0, len(all)-1).Draw(t, "slice")
	o := shardmap.PlanRequest{Kind: shardmap.Split, Shards: []shardmap.ShardID{all[i].ID}, Pieces: rapid.IntRange(2, 3).Draw(t, "into")}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		if i+1 < len(all) {
			o = shardmap.PlanRequest{Kind: shardmap.Merge, Shards: []shardmap.ShardID{all[i].ID, all[i+1].ID}}
		}
	case 1:
		o = shardmap.PlanRequest{Kind: shardmap.Move, Shards: []shardmap.ShardID{all[i].ID}, ReplicaSets: [][]string{{"z"}}}
	}
	l, err := l.Apply(shardmap.Command{Request: &o})
	if err != nil {
		t.Fatal(err)
	}
	p := l.Plans()[len(l.Plans())-1]
	a := shardmap.Advance{Plan: p.ID, Replicas: map[shardmap.ShardID][]string{}}
	for _, s := range p.To {
		a.Replicas[s.ID] = s.Replicas
	}
	for _, step := range []shardmap.PlanStep{shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired} {
		a.Step = step
		if l, err = l.Apply(shardmap.Command{Advance: &a}); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// Whatever changes and whichever part is told so, the parts ask for every wanted key exactly
// once at all times, each of one slice, in bounded rounds, and never in more parts than slices
// that serve what was replaced.
func TestReplanRequestsEveryKeyOnce(t *testing.T) {
	joined := 0
	rapid.Check(t, func(t *rapid.T) {
		l, err := shardmap.NewEven(rapid.IntRange(1, 6).Draw(t, "n"), [][]string{{"a"}, {"b"}})
		if err != nil {
			t.Fatal(err)
		}
		wanted := shardmap.FullRange.Split(7)[rapid.IntRange(0, 3).Draw(t, "from"):]
		whole := shardmap.Range{First: wanted[0].First, Last: wanted[len(wanted)-1].Last}
		parts := Plan(l, []shardmap.Range{whole})
		rounds := 0
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			l = drawSwitchedPlan(t, l)
			for told := true; told; {
				told = false
				for i, p := range parts {
					if s, ok := l.Shard(p.Shard); ok && s.Range.Covers(p.Range) || p.State == Answered {
						continue
					}
					c, why := Replan(l, parts, i, time.Second, time.Millisecond)
					if why == RoundsExhausted && p.Round >= MaxRounds {
						continue
					}
					if why != Replanned {
						t.Fatalf("part %+v: %s", p, why)
					}
					serving := 0
					l.ForEach(p.Range, func(shardmap.Shard) bool { serving++; return true })
					if len(c.Add) != serving {
						t.Fatalf("%d parts for %d slices", len(c.Add), serving)
					}
					joined += len(c.Drop) - 1
					parts, told = applyChange(parts, c), true
					rounds++
					break
				}
				checkKeysRequestedOnce(t, parts, whole)
			}
			for i := range parts {
				if parts[i].State == Pending {
					parts[i].State = PartState(rapid.IntRange(0, 2).Draw(t, "standing"))
				}
			}
		}
		if rounds > 200 {
			t.Fatalf("%d rounds", rounds)
		}
	})
	if joined == 0 {
		t.Error("no run joined a sibling")
	}
}

func applyChange(parts []Part, c Change) (out []Part) {
	for i, p := range parts {
		keep := true
		for _, d := range c.Drop {
			keep = keep && d != i
		}
		if keep {
			out = append(out, p)
		}
	}
	return append(out, c.Add...)
}

func checkKeysRequestedOnce(t *rapid.T, parts []Part, whole shardmap.Range) {
	ledger := coverage.NewTracker(whole)
	for _, p := range parts {
		if !ledger.Record(p.Range) {
			t.Fatalf("%s is asked for twice", p.Range)
		}
	}
	if !ledger.Complete() {
		t.Fatalf("nobody asks for %v", ledger.Missing())
	}
}

func TestReplanReasons(t *testing.T) {
	l, _ := shardmap.NewEven(2, [][]string{{"a"}})
	gone := []Part{{Shard: 1, Range: shardmap.FullRange}}
	for want, got := range map[Reason]func() (Change, Reason){
		NoNewerMap:       func() (Change, Reason) { return Replan(nil, gone, 0, time.Second, 0) },
		DeadlineTooClose: func() (Change, Reason) { return Replan(l, gone, 0, time.Millisecond, time.Millisecond) },
		RoundsExhausted:  func() (Change, Reason) { return Replan(l, []Part{{Round: MaxRounds}}, 0, time.Second, 0) },
		AlreadyAnswered:  func() (Change, Reason) { return Replan(l, []Part{{State: Answered}}, 0, time.Second, 0) },
	} {
		if _, why := got(); why != want {
			t.Errorf("refused as %q, want %q", why, want)
		}
	}
	serving := Plan(l, []shardmap.Range{shardmap.FullRange})
	if _, why := Replan(l, serving, 0, time.Second, 0); why != NoNewerMap {
		t.Errorf("a slice that serves was replaced (%q): a server may claim a version that does not exist", why)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		l, err := shardmap.NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		var wanted []shardmap.Range // eight keys, as a search with routing asks for
		for i := range 8 {
			k := shardmap.HashKey(fmt.Sprint(i))
			wanted = append(wanted, shardmap.Range{First: k, Last: k})
		}
		b.Run(fmt.Sprintf("slices=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(Plan(l, wanted)) != 8 {
					b.Fatal("a part is missing")
				}
			}
		})
	}
}
