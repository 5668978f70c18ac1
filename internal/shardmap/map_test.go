package shardmap

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

func drawReplicaSet(t *rapid.T) []string {
	servers := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	return rapid.SliceOfNDistinct(servers, 1, 3, rapid.ID[string]).Draw(t, "set")
}

// drawCommand draws a command, which may be valid, repeated or invalid.
func drawCommand(t *rapid.T, m *Map) Command {
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0:
		pieces := rapid.IntRange(1, 4).Draw(t, "into")
		return Command{Request: &PlanRequest{Kind: Split, Shards: drawShardID(t, m), Pieces: pieces}}
	case 1:
		shards := m.Shards()
		first := rapid.IntRange(0, len(shards)-1).Draw(t, "i")
		end := min(len(shards), first+rapid.IntRange(1, 3).Draw(t, "n"))
		var ids []ShardID
		for _, s := range shards[first:end] {
			ids = append(ids, s.ID)
		}
		return Command{Request: &PlanRequest{Kind: Merge, Shards: ids, ReplicaSets: [][]string{drawReplicaSet(t)}}}
	case 2:
		ids := drawShardID(t, m)
		return Command{Request: &PlanRequest{Kind: Move, Shards: ids, ReplicaSets: [][]string{drawReplicaSet(t)}}}
	case 3:
		id := PlanID(rapid.IntRange(1, int(m.nextPlanID)).Draw(t, "plan"))
		return Command{Abandon: &Abandon{Plan: id, Reason: "test"}}
	}
	return Command{Advance: drawAdvance(t, m)}
}

// drawShardID draws the id of a serving shard or, in one of five cases, the id after it.
func drawShardID(t *rapid.T, m *Map) []ShardID {
	s := rapid.SampledFrom(m.Shards()).Draw(t, "shard")
	offset := rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "off")
	return []ShardID{s.ID + ShardID(offset)}
}

// drawAdvance draws any step of any plan, often the next step of an open plan. Some of the plan's replicas are
// left out.
func drawAdvance(t *rapid.T, m *Map) *Advance {
	a := &Advance{
		Plan:     PlanID(rapid.IntRange(1, int(m.nextPlanID)).Draw(t, "plan")),
		Step:     rapid.SampledFrom(planSteps).Draw(t, "step"),
		Replicas: map[ShardID][]string{},
	}
	if rapid.IntRange(0, 3).Draw(t, "open") > 0 && len(m.plans) > 0 {
		a.Plan = rapid.SampledFrom(m.plans).Draw(t, "of").ID
	}
	p, ok := m.Plan(a.Plan)
	if !ok {
		return a
	}
	if i := slices.Index(planSteps, p.Step); rapid.Bool().Draw(t, "next") && i >= 0 {
		a.Step = planSteps[min(i+1, len(planSteps)-1)]
	}
	for _, s := range p.To {
		lost := rapid.IntRange(0, 1).Draw(t, "lost") % len(s.Replicas)
		a.Replicas[s.ID] = s.Replicas[lost:]
		if rapid.IntRange(0, 9).Draw(t, "none") == 0 {
			delete(a.Replicas, s.ID)
		}
	}
	return a
}

// documentText returns the JSON form of a version, by which versions are compared.
func documentText(m *Map) string {
	data, err := json.Marshal(m.Document())
	if err != nil {
		panic(err)
	}
	return string(data)
}

// snapshot is a version and its JSON form at the time it was current.
type snapshot struct {
	m    *Map
	text string
}

// Any sequence of commands keeps every invariant: version numbers grow, earlier versions do not change, repeating
// an Advance changes nothing, and a document parses to the same map.
func TestApplyKeepsInvariants(t *testing.T) {
	reached := map[PlanStep]int{}
	rapid.Check(t, func(t *rapid.T) {
		m, err := NewEven(rapid.IntRange(1, 6).Draw(t, "n"), [][]string{{"a", "b"}, {"c"}})
		if err != nil {
			t.Fatal(err)
		}
		var earlier []snapshot
		ranges := map[ShardID]Range{}
		for range rapid.IntRange(5, 40).Draw(t, "commands") {
			c := drawCommand(t, m)
			next, err := m.Apply(c)
			if err != nil {
				continue
			}
			checkApplied(t, m, next, c)
			checkRangesUnchanged(t, next, ranges)
			if c.Advance != nil {
				reached[c.Advance.Step]++
			}
			earlier = append(earlier, snapshot{m, documentText(m)})
			m = next
		}
		for _, s := range earlier {
			if documentText(s.m) != s.text {
				t.Fatalf("a later command changed version %d", s.m.version)
			}
		}
		base := m
		if len(earlier) > 0 {
			base = earlier[0].m
		}
		checkParsesBack(t, m, base)
	})
	for _, step := range planSteps[1:] {
		if reached[step] == 0 {
			t.Errorf("no run reached %s", step)
		}
	}
}

// checkApplied checks the version after a command, and that an Advance can be repeated.
func checkApplied(t *rapid.T, before, after *Map, c Command) {
	if err := after.Validate(); err != nil {
		t.Fatalf("map invalid after %+v: %v", c, err)
	}
	if after != before && after.version != before.version+1 {
		t.Fatalf("version = %d after a command on version %d, want %d",
			after.version, before.version, before.version+1)
	}
	if c.Advance == nil {
		return
	}
	if again, err := after.Apply(c); err != nil || again != after {
		t.Fatalf("%+v repeated: got another map or an error: %v", *c.Advance, err)
	}
}

// checkRangesUnchanged checks that each shard has the range that it had in earlier
// versions, and adds new shards to ranges.
func checkRangesUnchanged(t *rapid.T, m *Map, ranges map[ShardID]Range) {
	for _, s := range m.Shards() {
		if r, ok := ranges[s.ID]; ok && r != s.Range {
			t.Fatalf("range of shard %d changed from %s to %s", s.ID, r, s.Range)
		}
		ranges[s.ID] = s.Range
	}
}

// checkParsesBack checks that the document of m parses to the same map, with and without an earlier version to
// share memory with.
func checkParsesBack(t *rapid.T, m, earlier *Map) {
	text := documentText(m)
	var d Document
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		t.Fatal(err)
	}
	for _, base := range []*Map{nil, earlier} {
		if parsed, err := d.Map(base); err != nil || documentText(parsed) != text {
			t.Fatalf("the document parsed to another map or an error: %v", err)
		}
	}
}

func mustApply(t *testing.T, m *Map, c Command) *Map {
	t.Helper()
	next, err := m.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// mustFailWith checks that a command fails with the error want.
func mustFailWith(t *testing.T, m *Map, c Command, want error) {
	t.Helper()
	if _, err := m.Apply(c); !errors.Is(err, want) {
		t.Errorf("Apply(%+v): error = %v, want %v", c, err, want)
	}
}

// Of two plans for the same range, the second is rejected while the first is open. A request made for an outdated
// version is rejected whichever range it changes.
func TestApplyRejectsConcurrentPlans(t *testing.T) {
	m, err := NewEven(4, [][]string{{"a"}, {"b"}})
	if err != nil {
		t.Fatal(err)
	}
	split := &PlanRequest{Kind: Split, Shards: []ShardID{FirstDynamicID}, Pieces: 2}
	merge := &PlanRequest{Kind: Merge, Shards: []ShardID{FirstDynamicID, FirstDynamicID + 1}}
	onVersion := Command{ExpectedVersion: m.Version(), Request: split}
	open := mustApply(t, m, onVersion)
	ended := mustApply(t, open, Command{Abandon: &Abandon{Plan: 1}})
	t.Run("same version", func(t *testing.T) { mustFailWith(t, open, onVersion, ErrVersionConflict) })
	t.Run("overlapping plan", func(t *testing.T) { mustFailWith(t, open, Command{Request: merge}, ErrPlanOverlap) })
	t.Run("after abandonment", func(t *testing.T) { mustApply(t, ended, Command{Request: merge}) })
	t.Run("advance of abandoned plan", func(t *testing.T) {
		mustFailWith(t, ended, Command{Advance: &Advance{Plan: 1, Step: Copying}}, ErrInvalidTransition)
	})
}

// A replica that is lost between copying and the switch is left out of the new shard. If no other replica is
// complete, the switch fails.
func TestApplySwitchNeedsCompleteReplica(t *testing.T) {
	m, err := NewEven(2, [][]string{{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	move := &PlanRequest{Kind: Move, Shards: []ShardID{FirstDynamicID}, ReplicaSets: [][]string{{"b", "c"}}}
	m = mustApply(t, m, Command{Request: move})
	to := m.Plans()[0].To[0].ID
	advanceTo := func(step PlanStep, replicas ...string) Command {
		return Command{Advance: &Advance{Plan: 1, Step: step, Replicas: map[ShardID][]string{to: replicas}}}
	}
	m = mustApply(t, m, advanceTo(Copying))
	m = mustApply(t, m, advanceTo(Replicated, "b", "c"))
	mustFailWith(t, m, advanceTo(Switched, "x"), ErrNoReplica)
	switched := mustApply(t, m, advanceTo(Switched, "c"))
	s, ok := switched.Find(1)
	if !ok || s.ID != to || !slices.Equal(s.Replicas, []string{"c"}) || s.Epoch != switched.Version() {
		t.Errorf("shard of key 1 = %+v, found %v; want id %d, replicas [c], epoch %d", s, ok, to, switched.Version())
	}
	if _, ok := switched.Resolve(FirstDynamicID); !ok {
		t.Error("Resolve did not find the old shard before the plan was retired")
	}
	mustFailWith(t, switched, Command{Abandon: &Abandon{Plan: 1}}, ErrInvalidTransition)
	retired := mustApply(t, switched, advanceTo(Retired))
	if _, ok := retired.Resolve(FirstDynamicID); ok {
		t.Error("Resolve found the old shard after the plan was retired")
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		m, err := NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("slices=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			key := uint64(1)
			for b.Loop() {
				key = key*0x9e3779b97f4a7c15 + 1
				if _, ok := m.Find(key); !ok {
					b.Fatalf("no shard serves key %016x", key)
				}
			}
		})
	}
}

// BenchmarkApply applies a command to maps of several sizes. Its cost grows with the depth of the tree, not with
// the number of shards, since versions share the nodes that did not change.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		m, err := NewEven(n, [][]string{{"a", "b"}, {"c", "d"}})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("slices=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				split := &PlanRequest{Kind: Split, Shards: []ShardID{FirstDynamicID}, Pieces: 2}
				if _, err := m.Apply(Command{Request: split}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
