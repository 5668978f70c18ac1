package layout

import (
	"fmt"
	"slices"
)

// PlanID names a plan; it is never used again.
type PlanID uint64

// Kind is what a plan does.
type Kind string

// The kinds of plan.
const (
	Split Kind = "split"
	Merge Kind = "merge"
	Move  Kind = "move"
)

// Step is how far a plan has come.
type Step string

// The steps, in order; a plan is abandoned from any before the switch.
const (
	Planned   Step = "planned"
	Copying   Step = "copying"
	BothHold  Step = "both_hold"
	Switched  Step = "switched"
	Retired   Step = "retired"
	Abandoned Step = "abandoned"
)

var order = []Step{Planned, Copying, BothHold, Switched, Retired}

// Before tells whether s comes before o on the way of a plan.
func (s Step) Before(o Step) bool { return slices.Index(order, s) < slices.Index(order, o) }

// Plan is a change under way: the slices From give way to those of To, which own
// the same keys.
type Plan struct {
	ID   PlanID  `json:"id" toml:"id"`
	Kind Kind    `json:"kind" toml:"kind"`
	Step Step    `json:"step" toml:"step"`
	From []Slice `json:"from" toml:"from"`
	To   []Slice `json:"to" toml:"to"`
	At   uint64  `json:"at" toml:"at"`                       // the version at which it came to its step
	Why  string  `json:"why,omitempty" toml:"why,omitempty"` // it was abandoned
}

// Range is the keys that the plan touches.
func (p Plan) Range() Range { return Range{p.From[0].Range.First, p.From[len(p.From)-1].Range.Last} }

func (p Plan) touches(r Range) bool {
	_, both := p.Range().Overlap(r)
	return both
}

// Plans lists the open plans by id.
func (l *Layout) Plans() []Plan { return slices.Clone(l.plans) }

// Past lists the plans that ended last, oldest first.
func (l *Layout) Past() []Plan { return slices.Clone(l.past) }

// Plan is a plan by its id, open or remembered.
func (l *Layout) Plan(id PlanID) (Plan, bool) {
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
	At      uint64   `json:"At"` // the version it was made on; 0: any
	Order   *Order   `json:"Order"`
	Advance *Advance `json:"Advance"`
	Abandon *Abandon `json:"Abandon"`
}

// Order asks for a new plan.
type Order struct {
	Kind   Kind       `json:"kind"`
	Slices []SliceID  `json:"slices"` // one to split or move; neighbours to merge
	Into   int        `json:"into"`   // pieces of a split
	To     [][]string `json:"to"`     // holders of each new slice; one set: of all; none: as before
}

// Advance takes a plan to its next step.
type Advance struct {
	Plan    PlanID               `json:"Plan"`
	Step    Step                 `json:"Step"`
	Holding map[SliceID][]string `json:"Holding"` // for both_hold and switched: sound servers that hold each new slice whole
}

// Abandon ends a plan before its switch.
type Abandon struct {
	Plan PlanID `json:"Plan"`
	Why  string `json:"Why"`
}

// Apply is the layout after a command. A command that has been carried out already
// changes nothing and is no error: the same layout comes back.
func (l *Layout) Apply(c Command) (*Layout, error) {
	if c.At != 0 && c.At != l.version {
		return nil, fmt.Errorf("%w: made on %d, now %d", ErrVersion, c.At, l.version)
	}
	switch {
	case c.Order != nil:
		return l.order(*c.Order)
	case c.Advance != nil:
		return l.advance(*c.Advance)
	case c.Abandon != nil:
		return l.abandon(*c.Abandon)
	}
	return nil, fmt.Errorf("%w: an empty command", ErrOrder)
}

// order opens a plan.
func (l *Layout) order(o Order) (*Layout, error) {
	if len(l.plans) >= MaxPlans {
		return nil, fmt.Errorf("%w: %d plans are open", ErrCapacity, len(l.plans))
	}
	from, err := l.sources(o)
	if err != nil {
		return nil, err
	}
	p := Plan{ID: l.nextPlan, Kind: o.Kind, Step: Planned, From: from, At: l.version + 1}
	for _, other := range l.plans {
		if other.touches(p.Range()) {
			return nil, fmt.Errorf("%w: plan %d is at %s", ErrOverlap, other.ID, other.Range())
		}
	}
	out := l.share()
	out.nextPlan++
	ranges := []Range{p.Range()}
	if o.Kind == Split {
		if ranges = p.Range().Cut(o.Into); ranges == nil {
			return nil, fmt.Errorf("%w: %s has too few keys for %d slices", ErrOrder, p.Range(), o.Into)
		}
	}
	if n := len(o.To); n > 1 && n != len(ranges) {
		return nil, fmt.Errorf("%w: %d sets of holders for %d slices", ErrOrder, n, len(ranges))
	}
	for i, r := range ranges {
		s := Slice{ID: out.nextSlice, Range: r, Holders: from[0].Holders}
		if len(o.To) > 0 {
			s.Holders = slices.Clone(o.To[i%len(o.To)])
		}
		if err := checkHolders(s); err != nil {
			return nil, err
		}
		p.To = append(p.To, s)
		out.nextSlice++
	}
	if l.Len()+len(p.To) > MaxSlices {
		return nil, fmt.Errorf("%w: %d slices", ErrCapacity, l.Len())
	}
	out.plans = append(out.plans, p)
	return out, nil
}

// sources are the slices that an order is about, in order of keys.
func (l *Layout) sources(o Order) (from []Slice, err error) {
	for _, id := range o.Slices {
		s, ok := l.Slice(id)
		if !ok {
			return nil, fmt.Errorf("%w: slice %d does not serve at version %d", ErrUnknown, id, l.version)
		}
		from = append(from, s)
	}
	slices.SortFunc(from, func(a, b Slice) int {
		if a.Range.First < b.Range.First {
			return -1
		}
		return 1
	})
	switch o.Kind {
	case Split, Move:
		if len(from) != 1 {
			return nil, fmt.Errorf("%w: a %s is of one slice, not %d", ErrOrder, o.Kind, len(from))
		}
		if o.Kind == Split && (o.Into < 2 || o.Into > maxPieces) {
			return nil, fmt.Errorf("%w: a split into %d; 2 to %d are allowed", ErrOrder, o.Into, maxPieces)
		}
		if o.Kind == Move && len(o.To) != 1 {
			return nil, fmt.Errorf("%w: a move needs one set of holders", ErrOrder)
		}
	case Merge:
		if len(from) < 2 || len(from) > maxPieces {
			return nil, fmt.Errorf("%w: a merge of %d slices; 2 to %d are allowed", ErrOrder, len(from), maxPieces)
		}
		for i, s := range from[1:] {
			if s.Range.First != from[i].Range.Last+1 || s.Range.First == 0 {
				return nil, fmt.Errorf("%w: slices %d and %d are no neighbours", ErrCover, from[i].ID, s.ID)
			}
		}
	default:
		return nil, fmt.Errorf("%w: kind %.20q", ErrOrder, o.Kind)
	}
	return from, nil
}

// open finds an open plan; ended is true where it has come to an end already.
func (l *Layout) open(id PlanID) (i int, ended bool, err error) {
	if i = slices.IndexFunc(l.plans, func(p Plan) bool { return p.ID == id }); i >= 0 {
		return i, false, nil
	}
	if _, known := l.Plan(id); known {
		return -1, true, nil
	}
	return -1, false, fmt.Errorf("%w: plan %d", ErrUnknown, id)
}

// advance takes a plan one step on.
func (l *Layout) advance(a Advance) (*Layout, error) {
	i, ended, err := l.open(a.Plan)
	if err != nil {
		return nil, err
	}
	if ended {
		if p, _ := l.Plan(a.Plan); p.Step == a.Step || p.Step == Retired && a.Step.Before(Retired) {
			return l, nil
		}
		return nil, fmt.Errorf("%w: plan %d has ended", ErrStep, a.Plan)
	}
	p := l.plans[i]
	if a.Step == p.Step || a.Step.Before(p.Step) && slices.Contains(order, a.Step) {
		return l, nil
	}
	if at := slices.Index(order, p.Step); at+1 >= len(order) || order[at+1] != a.Step {
		return nil, fmt.Errorf("%w: plan %d is at %s, asked to go to %s", ErrStep, p.ID, p.Step, a.Step)
	}
	out := l.share()
	p.Step, p.At = a.Step, out.version
	if a.Step == BothHold || a.Step == Switched {
		if p.To, err = narrow(p.To, a.Holding); err != nil {
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
func narrow(list []Slice, holding map[SliceID][]string) ([]Slice, error) {
	out := slices.Clone(list)
	for i := range out {
		out[i].Holders = slices.DeleteFunc(slices.Clone(out[i].Holders), func(name string) bool {
			return !slices.Contains(holding[out[i].ID], name)
		})
		if err := checkHolders(out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// abandon ends a plan that has not switched.
func (l *Layout) abandon(a Abandon) (*Layout, error) {
	i, ended, err := l.open(a.Plan)
	if err != nil {
		return nil, err
	}
	if ended {
		if p, _ := l.Plan(a.Plan); p.Step == Abandoned {
			return l, nil
		}
		return nil, fmt.Errorf("%w: plan %d is retired", ErrStep, a.Plan)
	}
	if l.plans[i].Step == Switched {
		return nil, fmt.Errorf("%w: plan %d has switched; order the change back instead", ErrStep, a.Plan)
	}
	out := l.share()
	out.plans[i].Step, out.plans[i].At, out.plans[i].Why = Abandoned, out.version, a.Why
	out.retire(i)
	return out, nil
}

// retire moves a plan to the past, of which a bounded number is kept.
func (l *Layout) retire(i int) {
	past := append(slices.Clone(l.past), l.plans[i])
	l.past = past[max(0, len(past)-MaxPast):]
	l.plans = slices.Delete(l.plans, i, i+1)
}
