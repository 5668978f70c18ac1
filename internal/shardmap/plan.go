package shardmap

import (
	"fmt"
	"slices"
)

// PlanID names a plan; it is never used again.
type PlanID uint64

// PlanKind is what a plan does.
type PlanKind string

// The kinds of plan.
const (
	Split PlanKind = "split"
	Merge PlanKind = "merge"
	Move  PlanKind = "move"
)

// PlanStep is how far a plan has come.
type PlanStep string

// The steps, in order; a plan is abandoned from any before the switch.
const (
	Planned    PlanStep = "planned"
	Copying    PlanStep = "copying"
	Replicated PlanStep = "both_hold"
	Switched   PlanStep = "switched"
	Retired    PlanStep = "retired"
	Abandoned  PlanStep = "abandoned"
)

var order = []PlanStep{Planned, Copying, Replicated, Switched, Retired}

// Before tells whether s comes before o on the way of a plan.
func (s PlanStep) Before(o PlanStep) bool { return slices.Index(order, s) < slices.Index(order, o) }

// Plan is a change under way: the slices From give way to those of To, which own
// the same keys.
type Plan struct {
	ID      PlanID   `json:"id" toml:"id"`
	Kind    PlanKind `json:"kind" toml:"kind"`
	Step    PlanStep `json:"step" toml:"step"`
	From    []Shard  `json:"from" toml:"from"`
	To      []Shard  `json:"to" toml:"to"`
	Version uint64   `json:"at" toml:"at"`                       // the version at which it came to its step
	Reason  string   `json:"why,omitempty" toml:"why,omitempty"` // it was abandoned
}

// Range is the keys that the plan touches.
func (p Plan) Range() Range { return Range{p.From[0].Range.First, p.From[len(p.From)-1].Range.Last} }

func (p Plan) touches(r Range) bool {
	_, both := p.Range().Intersect(r)
	return both
}

// Plans lists the open plans by id.
func (l *Map) Plans() []Plan { return slices.Clone(l.plans) }

// History lists the plans that ended last, oldest first.
func (l *Map) History() []Plan { return slices.Clone(l.past) }

// Plan is a plan by its id, open or remembered.
func (l *Map) Plan(id PlanID) (Plan, bool) {
	for _, list := range [][]Plan{l.plans, l.past} {
		if i := slices.IndexFunc(list, func(p Plan) bool { return p.ID == id }); i >= 0 {
			return list[i], true
		}
	}
	return Plan{}, false
}

// Command is one change of a layout: an order, a step or an abandonment. It lies in the Raft log, under the names in its
// tags; so do Advance and Abandon.
type Command struct {
	ExpectedVersion uint64       `json:"At"` // the version it was made on; 0: any
	Request         *PlanRequest `json:"Order"`
	Advance         *Advance     `json:"Advance"`
	Abandon         *Abandon     `json:"Abandon"`
}

// PlanRequest asks for a new plan.
type PlanRequest struct {
	Kind        PlanKind   `json:"kind"`
	Shards      []ShardID  `json:"slices"` // one to split or move; neighbours to merge
	Pieces      int        `json:"into"`   // pieces of a split
	ReplicaSets [][]string `json:"to"`     // holders of each new slice; one set: of all; none: as before
}

// Advance takes a plan to its next step.
type Advance struct {
	Plan     PlanID               `json:"Plan"`
	Step     PlanStep             `json:"Step"`
	Replicas map[ShardID][]string `json:"Holding"` // for both_hold and switched: sound servers that hold each new slice whole
}

// Abandon ends a plan before its switch.
type Abandon struct {
	Plan   PlanID `json:"Plan"`
	Reason string `json:"Why"`
}

// Apply is the layout after a command. A command that has been carried out already
// changes nothing and is no error: the same layout comes back.
func (l *Map) Apply(c Command) (*Map, error) {
	if c.ExpectedVersion != 0 && c.ExpectedVersion != l.version {
		return nil, fmt.Errorf("%w: made on %d, now %d", ErrVersionConflict, c.ExpectedVersion, l.version)
	}
	switch {
	case c.Request != nil:
		return l.order(*c.Request)
	case c.Advance != nil:
		return l.advance(*c.Advance)
	case c.Abandon != nil:
		return l.abandon(*c.Abandon)
	}
	return nil, fmt.Errorf("%w: an empty command", ErrInvalidRequest)
}

// order opens a plan.
func (l *Map) order(o PlanRequest) (*Map, error) {
	if len(l.plans) >= MaxOpenPlans {
		return nil, fmt.Errorf("%w: %d plans are open", ErrLimitExceeded, len(l.plans))
	}
	from, err := l.sources(o)
	if err != nil {
		return nil, err
	}
	p := Plan{ID: l.nextPlan, Kind: o.Kind, Step: Planned, From: from, Version: l.version + 1}
	for _, other := range l.plans {
		if other.touches(p.Range()) {
			return nil, fmt.Errorf("%w: plan %d is at %s", ErrPlanOverlap, other.ID, other.Range())
		}
	}
	out := l.share()
	out.nextPlan++
	ranges := []Range{p.Range()}
	if o.Kind == Split {
		if ranges = p.Range().Split(o.Pieces); ranges == nil {
			return nil, fmt.Errorf("%w: %s has too few keys for %d slices", ErrInvalidRequest, p.Range(), o.Pieces)
		}
	}
	if n := len(o.ReplicaSets); n > 1 && n != len(ranges) {
		return nil, fmt.Errorf("%w: %d sets of holders for %d slices", ErrInvalidRequest, n, len(ranges))
	}
	for i, r := range ranges {
		s := Shard{ID: out.nextSlice, Range: r, Replicas: from[0].Replicas}
		if len(o.ReplicaSets) > 0 {
			s.Replicas = slices.Clone(o.ReplicaSets[i%len(o.ReplicaSets)])
		}
		if err := checkHolders(s); err != nil {
			return nil, err
		}
		p.To = append(p.To, s)
		out.nextSlice++
	}
	if l.Len()+len(p.To) > MaxShards {
		return nil, fmt.Errorf("%w: %d slices", ErrLimitExceeded, l.Len())
	}
	out.plans = append(out.plans, p)
	return out, nil
}

// sources are the slices that an order is about, in order of keys.
func (l *Map) sources(o PlanRequest) (from []Shard, err error) {
	for _, id := range o.Shards {
		s, ok := l.Shard(id)
		if !ok {
			return nil, fmt.Errorf("%w: slice %d does not serve at version %d", ErrNotFound, id, l.version)
		}
		from = append(from, s)
	}
	slices.SortFunc(from, func(a, b Shard) int {
		if a.Range.First < b.Range.First {
			return -1
		}
		return 1
	})
	switch o.Kind {
	case Split, Move:
		if len(from) != 1 {
			return nil, fmt.Errorf("%w: a %s is of one slice, not %d", ErrInvalidRequest, o.Kind, len(from))
		}
		if o.Kind == Split && (o.Pieces < 2 || o.Pieces > maxPieces) {
			return nil, fmt.Errorf("%w: a split into %d; 2 to %d are allowed", ErrInvalidRequest, o.Pieces, maxPieces)
		}
		if o.Kind == Move && len(o.ReplicaSets) != 1 {
			return nil, fmt.Errorf("%w: a move needs one set of holders", ErrInvalidRequest)
		}
	case Merge:
		if len(from) < 2 || len(from) > maxPieces {
			return nil, fmt.Errorf("%w: a merge of %d slices; 2 to %d are allowed", ErrInvalidRequest, len(from), maxPieces)
		}
		for i, s := range from[1:] {
			if s.Range.First != from[i].Range.Last+1 || s.Range.First == 0 {
				return nil, fmt.Errorf("%w: slices %d and %d are no neighbours", ErrIncompleteCoverage, from[i].ID, s.ID)
			}
		}
	default:
		return nil, fmt.Errorf("%w: kind %.20q", ErrInvalidRequest, o.Kind)
	}
	return from, nil
}

// open finds an open plan; ended is true where it has come to an end already.
func (l *Map) open(id PlanID) (i int, ended bool, err error) {
	if i = slices.IndexFunc(l.plans, func(p Plan) bool { return p.ID == id }); i >= 0 {
		return i, false, nil
	}
	if _, known := l.Plan(id); known {
		return -1, true, nil
	}
	return -1, false, fmt.Errorf("%w: plan %d", ErrNotFound, id)
}

// advance takes a plan one step on.
func (l *Map) advance(a Advance) (*Map, error) {
	i, ended, err := l.open(a.Plan)
	if err != nil {
		return nil, err
	}
	if ended {
		if p, _ := l.Plan(a.Plan); p.Step == a.Step || p.Step == Retired && a.Step.Before(Retired) {
			return l, nil
		}
		return nil, fmt.Errorf("%w: plan %d has ended", ErrInvalidTransition, a.Plan)
	}
	p := l.plans[i]
	if a.Step == p.Step || a.Step.Before(p.Step) && slices.Contains(order, a.Step) {
		return l, nil
	}
	if at := slices.Index(order, p.Step); at+1 >= len(order) || order[at+1] != a.Step {
		return nil, fmt.Errorf("%w: plan %d is at %s, asked to go to %s", ErrInvalidTransition, p.ID, p.Step, a.Step)
	}
	out := l.share()
	p.Step, p.Version = a.Step, out.version
	if a.Step == Replicated || a.Step == Switched {
		if p.To, err = narrow(p.To, a.Replicas); err != nil {
			return nil, fmt.Errorf("plan %d to %s: %w", p.ID, a.Step, err)
		}
	}
	if a.Step == Switched {
		for _, s := range p.From {
			out.drop(s)
		}
		for i := range p.To {
			p.To[i].Epoch = out.version
			out.put(p.To[i])
		}
		if err := out.covers(p.Range()); err != nil {
			return nil, err
		}
	}
	out.plans[i] = p
	if a.Step == Retired {
		out.retire(i)
	}
	return out, nil
}

// narrow leaves each new slice the holders that have it, and refuses one without.
func narrow(list []Shard, holding map[ShardID][]string) ([]Shard, error) {
	out := slices.Clone(list)
	for i := range out {
		out[i].Replicas = slices.DeleteFunc(slices.Clone(out[i].Replicas), func(name string) bool {
			return !slices.Contains(holding[out[i].ID], name)
		})
		if err := checkHolders(out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// abandon ends a plan that has not switched.
func (l *Map) abandon(a Abandon) (*Map, error) {
	i, ended, err := l.open(a.Plan)
	if err != nil {
		return nil, err
	}
	if ended {
		if p, _ := l.Plan(a.Plan); p.Step == Abandoned {
			return l, nil
		}
		return nil, fmt.Errorf("%w: plan %d is retired", ErrInvalidTransition, a.Plan)
	}
	if l.plans[i].Step == Switched {
		return nil, fmt.Errorf("%w: plan %d has switched; order the change back instead", ErrInvalidTransition, a.Plan)
	}
	out := l.share()
	out.plans[i].Step, out.plans[i].Version, out.plans[i].Reason = Abandoned, out.version, a.Reason
	out.retire(i)
	return out, nil
}

// retire moves a plan to the past, of which a bounded number is kept.
func (l *Map) retire(i int) {
	past := append(slices.Clone(l.past), l.plans[i])
	l.past = past[max(0, len(past)-MaxPlanHistory):]
	l.plans = slices.Delete(l.plans, i, i+1)
}
