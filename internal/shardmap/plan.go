package shardmap

import "slices"

// PlanID identifies a plan; it is never reused.
type PlanID uint64

// PlanKind is what a plan does.
type PlanKind string

// The kinds of plan.
const (
	Split PlanKind = "split" // one shard into several
	Merge PlanKind = "merge" // adjacent shards into one
	Move  PlanKind = "move"  // one shard to other servers
)

// PlanStep is the state of a plan.
type PlanStep string

// The steps of a plan, in order. A plan can be abandoned at any step before Switched.
const (
	Planned    PlanStep = "planned"   // not started
	Copying    PlanStep = "copying"   // the new replicas copy the data
	Replicated PlanStep = "both_hold" // old and new replicas have the data; the old shards serve
	Switched   PlanStep = "switched"  // the new shards serve; the old replicas keep their data
	Retired    PlanStep = "retired"   // ended; the old replicas may drop their data
	Abandoned  PlanStep = "abandoned" // ended before the switch; the old shards serve
)

// planSteps are the steps of a plan that is not abandoned, in order.
var planSteps = []PlanStep{Planned, Copying, Replicated, Switched, Retired}

// Before reports whether s comes before other in a plan that is not abandoned. Abandoned and unknown steps count
// as before all others.
func (s PlanStep) Before(other PlanStep) bool {
	return slices.Index(planSteps, s) < slices.Index(planSteps, other)
}

// precedes reports whether next is the step right after s.
func (s PlanStep) precedes(next PlanStep) bool {
	i := slices.Index(planSteps, s)
	return i+1 < len(planSteps) && planSteps[i+1] == next
}

// Plan is a change of the shard map: the shards To replace the shards From and own the same keys.
type Plan struct {
	ID      PlanID   `json:"id" toml:"id"`
	Kind    PlanKind `json:"kind" toml:"kind"`
	Step    PlanStep `json:"step" toml:"step"`
	From    []Shard  `json:"from" toml:"from"`
	To      []Shard  `json:"to" toml:"to"`
	Version uint64   `json:"at" toml:"at"`                       // the map's version at which the plan reached Step
	Reason  string   `json:"why,omitempty" toml:"why,omitempty"` // why it was abandoned
}

// Range returns the range of keys that the plan changes; false if the plan names no old shards, as a plan in a document
// may.
func (p Plan) Range() (Range, bool) {
	if len(p.From) == 0 {
		return Range{}, false
	}
	return Range{First: p.From[0].Range.First, Last: p.From[len(p.From)-1].Range.Last}, true
}

// equal reports whether two plans are the same at the same step.
func (p Plan) equal(other Plan) bool {
	return p.ID == other.ID && p.Kind == other.Kind && p.Step == other.Step && p.Version == other.Version &&
		p.Reason == other.Reason && slices.EqualFunc(p.From, other.From, Shard.equal) &&
		slices.EqualFunc(p.To, other.To, Shard.equal)
}

// overlaps reports whether two plans change some of the same keys. A plan without old shards overlaps no other.
func (p Plan) overlaps(other Plan) bool {
	own, ok := p.Range()
	if !ok {
		return false
	}
	others, ok := other.Range()
	if !ok {
		return false
	}
	_, ok = own.Intersect(others)
	return ok
}

// Plans returns the open plans, sorted by id.
func (m *Map) Plans() []Plan { return slices.Clone(m.plans) }

// History returns the last MaxPlanHistory plans that ended, oldest first.
func (m *Map) History() []Plan { return slices.Clone(m.history) }

// Plan returns a plan by its id, open or in the history.
func (m *Map) Plan(id PlanID) (Plan, bool) {
	for _, plans := range [][]Plan{m.plans, m.history} {
		if i := indexOfPlan(plans, id); i >= 0 {
			return plans[i], true
		}
	}
	return Plan{}, false
}

func indexOfPlan(plans []Plan, id PlanID) int {
	return slices.IndexFunc(plans, func(p Plan) bool { return p.ID == id })
}
