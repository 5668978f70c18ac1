package resharding

import (
	"testing"

	"linkpass/internal/shardmap"
)

// A malformed plan, which an earlier version of the program accepted in a document, is abandoned rather than carried out,
// also if none of its new replicas is missing.
func TestControllerAbandonsMalformedPlan(t *testing.T) {
	for _, step := range []shardmap.PlanStep{shardmap.Planned, shardmap.Copying, shardmap.Replicated} {
		t.Run(string(step), func(t *testing.T) {
			even, err := shardmap.NewEven(2, [][]string{{"a"}})
			if err != nil {
				t.Fatal(err)
			}
			document := even.Document()
			document.NextPlan = 3
			document.Plans = []shardmap.Plan{{ID: 2, Kind: shardmap.Move, Step: step}}
			m, err := document.Map(nil)
			if err != nil {
				t.Fatal(err)
			}
			actions := New(testLimits).NextActions(Input{
				Maps:    map[string]*shardmap.Map{"odd": m},
				Healthy: map[string]bool{"a": true},
			})
			if len(actions) != 1 || actions[0].Command.Abandon == nil || actions[0].Command.Abandon.Plan != 2 {
				t.Fatalf("actions = %+v, want one that abandons plan 2", actions)
			}
			if m, err = m.Apply(actions[0].Command); err != nil || len(m.Plans()) > 0 {
				t.Errorf("error = %v, want no open plan after the action", err)
			}
		})
	}
}
