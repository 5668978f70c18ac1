package shardmap

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawPlan draws a plan of which nothing need fit the map.
func drawPlan(t *rapid.T, m *Map) Plan {
	shards := append(m.Shards(),
		Shard{ID: FirstDynamicID + 90, Range: FullRange, Replicas: []string{"a"}},
		Shard{ID: FirstDynamicID + 91, Range: Range{First: 1, Last: 5}, Replicas: []string{"b"}},
		Shard{ID: FirstDynamicID + 92})
	drawn := rapid.SliceOfN(rapid.SampledFrom(shards), 0, 3)
	return Plan{
		ID:   PlanID(rapid.IntRange(1, 5).Draw(t, "id")),
		Kind: rapid.SampledFrom([]PlanKind{Split, Merge, Move, "none"}).Draw(t, "kind"),
		Step: rapid.SampledFrom(append([]PlanStep{Abandoned, "soon"}, planSteps...)).Draw(t, "step"),
		From: drawn.Draw(t, "from"),
		To:   drawn.Draw(t, "to"),
	}
}

// drawCommandOnMalformed draws a request for a plan, or a step of any plan with all of its new replicas complete.
func drawCommandOnMalformed(t *rapid.T, m *Map) Command {
	if len(m.plans) == 0 || rapid.IntRange(0, 3).Draw(t, "request") == 0 {
		return Command{Request: &PlanRequest{Kind: Split, Shards: drawShardID(t, m), Pieces: 2}}
	}
	p := rapid.SampledFrom(m.plans).Draw(t, "plan")
	advance := &Advance{
		Plan:     p.ID,
		Step:     rapid.SampledFrom(planSteps).Draw(t, "step"),
		Replicas: map[ShardID][]string{},
	}
	for _, s := range p.To {
		advance.Replicas[s.ID] = s.Replicas
	}
	return Command{Advance: advance}
}

// Guards against a panic by a document in the log: whatever plans it has, the map that is built from it takes every
// command, can be read again from its document, and lets each open plan end or be abandoned.
func TestMalformedPlansNeverPanic(t *testing.T) {
	accepted, rejectedPlans := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		even, err := NewEven(3, [][]string{{"a", "b"}, {"c"}})
		if err != nil {
			t.Fatal(err)
		}
		document := even.Document()
		document.NextShard, document.NextPlan = FirstDynamicID+100, 6
		for range rapid.IntRange(1, 2).Draw(t, "plans") {
			document.Plans = append(document.Plans, drawPlan(t, even))
		}
		m, err := document.Map(nil)
		if err != nil {
			return
		}
		accepted++
		if m.CheckProposal(nil) != nil {
			rejectedPlans++
		}
		for range 6 {
			if next, err := m.Apply(drawCommandOnMalformed(t, m)); err == nil {
				m = next
			}
			stored := m.Document().StoredMap()
			if !reflect.DeepEqual(stored.Document(), m.Document()) {
				t.Fatalf("read again as %+v, want %+v", stored.Document(), m.Document())
			}
		}
		for _, p := range m.Plans() {
			end := Command{Abandon: &Abandon{Plan: p.ID}}
			if p.Step == Switched {
				end = Command{Advance: &Advance{Plan: p.ID, Step: Retired}}
			}
			if m, err = m.Apply(end); err != nil {
				t.Fatalf("plan %+v cannot be ended: %v", p, err)
			}
		}
	})
	if accepted == 0 || rejectedPlans == 0 {
		t.Errorf("%d documents accepted, %d of them not to be proposed; want some of both", accepted, rejectedPlans)
	}
}

// Every plan that commands open on a valid map may be proposed, at each of its steps.
func TestPlansOfCommandsMayBeProposed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := NewEven(rapid.IntRange(1, 4).Draw(t, "n"), [][]string{{"a", "b"}, {"c"}})
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			next, err := m.Apply(drawCommand(t, m))
			if err != nil {
				continue
			}
			if err := next.CheckProposal(m); err != nil {
				t.Fatalf("after a command: %v", err)
			}
			if err := next.CheckProposal(nil); err != nil {
				t.Fatalf("as a first version: %v", err)
			}
			m = next
		}
	})
}
