package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"linkpass/internal/shardmap"
)

// plan is a plan as the admin API encodes it.
type plan struct {
	ID     uint64            `json:"id"`
	Kind   string            `json:"kind"`
	Step   shardmap.PlanStep `json:"step"`
	Reason string            `json:"why,omitempty"`
	From   []struct {
		ID    uint64 `json:"id"`
		Range string `json:"range"`
	} `json:"from"`
	To []struct {
		ID      uint64   `json:"id"`
		Range   string   `json:"range"`
		Holders []string `json:"holders"`
	} `json:"to"`
}

func writePlanRows(w io.Writer, plans []plan) {
	fmt.Fprintln(w, "PLAN\tKIND\tSTEP\tFROM\tTO")
	for _, p := range plans {
		var from, to []string
		for _, s := range p.From {
			from = append(from, fmt.Sprint(s.ID))
		}
		for _, s := range p.To {
			to = append(to, fmt.Sprintf("%d on %s", s.ID, strings.Join(s.Holders, "+")))
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", p.ID, p.Kind, p.Step, strings.Join(from, ","), strings.Join(to, ", "))
	}
}

type planWatch struct {
	Index string `arg:""`
	Plan  uint64 `arg:""`
}

// Run prints the steps of a plan until it has ended.
func (c planWatch) Run(e *env) error { return e.watchPlan(c.Index, c.Plan) }

// planSteps lists the steps of a plan in the order in which it passes through them.
var planSteps = []shardmap.PlanStep{
	shardmap.Planned, shardmap.Copying, shardmap.Replicated, shardmap.Switched, shardmap.Retired,
}

// watchPlan polls a plan until it has ended and prints each step that a poll sees, with a progress bar. It returns an
// error if the plan is abandoned.
func (e *env) watchPlan(index string, id uint64) error {
	var last shardmap.PlanStep
	return e.wait(fmt.Sprintf("plan %d of %s has not ended", id, index), func() (bool, error) {
		p, err := e.findPlan(index, id)
		if err != nil {
			return false, err
		}
		if p.Step != last {
			last = p.Step
			if err := e.printStep(p); err != nil {
				return false, err
			}
		}
		if p.Step == shardmap.Abandoned {
			return false, fmt.Errorf("plan %d was abandoned: %s", id, p.Reason)
		}
		return p.Step == shardmap.Retired, nil
	})
}

func (e *env) printStep(p plan) error {
	bar := strings.Repeat("#", slices.Index(planSteps, p.Step)+1)
	_, err := fmt.Fprintf(e.err, "[%-5s] plan %d: %s %s\n", bar, p.ID, p.Step, p.Reason)
	return err
}

// findPlan returns an open or ended plan from the coordinator's local copy of the replicated document.
func (e *env) findPlan(index string, id uint64) (plan, error) {
	var doc struct {
		Indices map[string]struct {
			Layout struct {
				Plans []plan `json:"plans"`
				Past  []plan `json:"past"`
			} `json:"layout"`
		} `json:"indices"`
	}
	if err := e.client.Call("GET", "/store/document?local=true", nil, &doc); err != nil {
		return plan{}, err
	}
	m := doc.Indices[index].Layout
	for _, p := range append(m.Plans, m.Past...) {
		if p.ID == id {
			return p, nil
		}
	}
	return plan{}, fmt.Errorf("index %q has no plan %d, or it ended too long ago to be listed", index, id)
}
