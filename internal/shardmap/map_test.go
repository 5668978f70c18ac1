package shardmap

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/seeded"
)

func drawReplicaSet(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3, rapid.ID[string]).Draw(t, "set")
}

// draw makes any command: sensible ones, repeated ones and nonsense.
func drawCommand(t *rapid.T, l *Map) Command {
	pick := func() ShardID {
		all := l.Shards()
		return rapid.SampledFrom(all).Draw(t, "slice").ID + ShardID(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "off"))
	}
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0:
		return Command{Request: &PlanRequest{Kind: Split, Shards: []ShardID{pick()}, Pieces: rapid.IntRange(1, 4).Draw(t, "into")}}
	case 1:
		all := l.Shards()
		i := rapid.IntRange(0, len(all)-1).Draw(t, "i")
		var ids []ShardID
		for _, s := range all[i:min(len(all), i+rapid.IntRange(1, 3).Draw(t, "n"))] {
			ids = append(ids, s.ID)
		}
		return Command{Request: &PlanRequest{Kind: Merge, Shards: ids, ReplicaSets: [][]string{drawReplicaSet(t)}}}
	case 2:
		return Command{Request: &PlanRequest{Kind: Move, Shards: []ShardID{pick()}, ReplicaSets: [][]string{drawReplicaSet(t)}}}
	case 3:
		return Command{Abandon: &Abandon{Plan: PlanID(rapid.IntRange(1, int(l.nextPlanID)).Draw(t, "plan")), Reason: "test"}}
	}
	a := Advance{Plan: PlanID(rapid.IntRange(1, int(l.nextPlanID)).Draw(t, "plan")), Step: rapid.SampledFrom(planSteps).Draw(t, "step"),
		Replicas: map[ShardID][]string{}}
	if rapid.IntRange(0, 3).Draw(t, "open") > 0 && len(l.plans) > 0 {
		a.Plan = rapid.SampledFrom(l.plans).Draw(t, "of").ID
	}
	if p, ok := l.Plan(a.Plan); ok {
		if i := slices.Index(planSteps, p.Step); rapid.Bool().Draw(t, "next") && i >= 0 {
			a.Step = planSteps[min(i+1, len(planSteps)-1)]
		}
		for _, s := range p.To {
			a.Replicas[s.ID] = s.Replicas[rapid.IntRange(0, 1).Draw(t, "lost")%len(s.Replicas):]
			if rapid.IntRange(0, 9).Draw(t, "none") == 0 {
				delete(a.Replicas, s.ID)
			}
		}
	}
	return Command{Advance: &a}
}

// Any sequence of commands keeps every invariant; versions grow; old ones stay as they
// were; repeating a command that holds changes nothing; what is written down reads back.
func TestApplyKeepsInvariants(t *testing.T) {
	steps := map[PlanStep]int{}
	rapid.Check(t, func(t *rapid.T) {
		l, err := NewEven(rapid.IntRange(1, 6).Draw(t, "n"), [][]string{{"a", "b"}, {"c"}})
		if err != nil {
			t.Fatal(err)
		}
		type kept struct {
			l    *Map
			text string
		}
		var old []kept
		used := map[ShardID]Range{}
		text := func(l *Map) string { b, _ := json.Marshal(l.Document()); return string(b) }
		for range rapid.IntRange(5, 40).Draw(t, "commands") {
			c := drawCommand(t, l)
			next, err := l.Apply(c)
			if err != nil {
				continue
			}
			if err := next.Validate(); err != nil {
				t.Fatalf("%+v: %v", c, err)
			}
			if next != l && next.version != l.version+1 {
				t.Fatalf("version %d after %d", next.version, l.version)
			}
			if c.Advance != nil {
				if again, err := next.Apply(c); err != nil || again != next {
					t.Fatalf("repeated %+v: %v", *c.Advance, err)
				}
				steps[c.Advance.Step]++
			}
			for _, s := range next.Shards() {
				if r, ok := used[s.ID]; ok && r != s.Range {
					t.Fatalf("slice %d was %s and is %s", s.ID, r, s.Range)
				}
				used[s.ID] = s.Range
			}
			old = append(old, kept{l, text(l)})
			l = next
		}
		for _, k := range old {
			if text(k.l) != k.text {
				t.Fatalf("version %d changed", k.l.version)
			}
		}
		var d Document
		if err := json.Unmarshal([]byte(text(l)), &d); err != nil {
			t.Fatal(err)
		}
		for _, from := range []*Map{nil, firstOr(old, l, func(k kept) *Map { return k.l })} {
			if back, err := d.Map(from); err != nil || text(back) != text(l) {
				t.Fatalf("read back: %v", err)
			}
		}
	})
	for _, s := range planSteps[1:] {
		if steps[s] == 0 {
			t.Errorf("no run came to %s", s)
		}
	}
}

func firstOr[K any](old []K, otherwise *Map, of func(K) *Map) *Map {
	if len(old) == 0 {
		return otherwise
	}
	return of(old[0])
}

func mustApply(t *testing.T, l *Map, c Command) *Map {
	t.Helper()
	next, err := l.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Two changes ordered at once: the second is refused while the first is open, and the same
// request on the version that both read is refused whatever it touches.
func TestApplyRejectsConcurrentPlans(t *testing.T) {
	l, _ := NewEven(4, [][]string{{"a"}, {"b"}})
	one := Command{ExpectedVersion: l.Version(), Request: &PlanRequest{Kind: Split, Shards: []ShardID{FirstDynamicID}, Pieces: 2}}
	next := mustApply(t, l, one)
	if _, err := next.Apply(one); !errors.Is(err, ErrVersionConflict) {
		t.Errorf("the same version twice: %v", err)
	}
	two := Command{Request: &PlanRequest{Kind: Merge, Shards: []ShardID{FirstDynamicID, FirstDynamicID + 1}}}
	if _, err := next.Apply(two); !errors.Is(err, ErrPlanOverlap) {
		t.Errorf("overlapping plans: %v", err)
	}
	ended := mustApply(t, next, Command{Abandon: &Abandon{Plan: 1}})
	if _, err := ended.Apply(two); err != nil {
		t.Errorf("after the first was abandoned: %v", err)
	}
	if _, err := ended.Apply(Command{Advance: &Advance{Plan: 1, Step: Copying}}); !errors.Is(err, ErrInvalidTransition) {
		t.Errorf("an abandoned plan went on: %v", err)
	}
}

// A holder that dies between copy and switch is left out; with no other the switch is refused.
func TestSwitchNeedsCompleteReplica(t *testing.T) {
	l, _ := NewEven(2, [][]string{{"a"}})
	l = mustApply(t, l, Command{Request: &PlanRequest{Kind: Move, Shards: []ShardID{FirstDynamicID}, ReplicaSets: [][]string{{"b", "c"}}}})
	l = mustApply(t, l, Command{Advance: &Advance{Plan: 1, Step: Copying}})
	to := l.Plans()[0].To[0].ID
	l = mustApply(t, l, Command{Advance: &Advance{Plan: 1, Step: Replicated, Replicas: map[ShardID][]string{to: {"b", "c"}}}})
	if _, err := l.Apply(Command{Advance: &Advance{Plan: 1, Step: Switched, Replicas: map[ShardID][]string{to: {"x"}}}}); !errors.Is(err, ErrNoReplica) {
		t.Errorf("switched to nobody: %v", err)
	}
	after := mustApply(t, l, Command{Advance: &Advance{Plan: 1, Step: Switched, Replicas: map[ShardID][]string{to: {"c"}}}})
	if s, ok := after.Find(1); !ok || s.ID != to || !slices.Equal(s.Replicas, []string{"c"}) || s.Epoch != after.Version() {
		t.Errorf("serves %+v", s)
	}
	if _, ok := after.Resolve(FirstDynamicID); !ok {
		t.Error("the old holder's data is given up before the plan is retired")
	}
	if _, err := after.Apply(Command{Abandon: &Abandon{Plan: 1}}); !errors.Is(err, ErrInvalidTransition) {
		t.Errorf("abandoned after the switch: %v", err)
	}
	done := mustApply(t, after, Command{Advance: &Advance{Plan: 1, Step: Retired}})
	if _, ok := done.Resolve(FirstDynamicID); ok {
		t.Error("held after the plan was retired")
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		l, err := NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("slices=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			key := uint64(1)
			for b.Loop() {
				key = key*0x9e3779b97f4a7c15 + 1
				if _, ok := l.Find(key); !ok {
					b.Fatal("no slice")
				}
			}
		})
	}
}

// A step's cost grows with the depth of the tree, not with the slices: versions share the rest.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		l, err := NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("slices=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := l.Apply(Command{Request: &PlanRequest{Kind: Split, Shards: []ShardID{FirstDynamicID}, Pieces: 2}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
