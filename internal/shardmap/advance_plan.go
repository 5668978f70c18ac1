package shardmap

import (
	"fmt"
	"slices"
)

// advancePlan moves a plan to its next step. If the plan has reached that step already, it returns m itself.
func (m *Map) advancePlan(a Advance) (*Map, error) {
	i, err := m.openPlanIndex(a.Plan)
	if err != nil {
		return nil, err
	}
	if i < 0 {
		return m.advanceEndedPlan(a)
	}
	p := m.plans[i]
	if a.Step == p.Step || a.Step.Before(p.Step) && slices.Contains(planSteps, a.Step) {
		return m, nil // already applied
	}
	if !p.Step.precedes(a.Step) {
		return nil, fmt.Errorf("%w: plan %d is at %s, asked to go to %s", ErrInvalidTransition, p.ID, p.Step, a.Step)
	}
	out := m.next()
	p.Step, p.Version = a.Step, out.version
	if a.Step == Replicated || a.Step == Switched {
		p.To, err = restrictReplicas(p.To, a.Replicas)
		if err != nil {
			return nil, fmt.Errorf("plan %d to %s: %w", p.ID, a.Step, err)
		}
	}
	if a.Step == Switched {
		if err := out.switchShards(p); err != nil {
			return nil, err
		}
	}
	out.plans[i] = p
	if a.Step == Retired {
		out.endPlan(i)
	}
	return out, nil
}

// advanceEndedPlan handles an Advance of a plan that has ended. It returns m itself if the plan reached the
// step before it ended, and ErrInvalidTransition otherwise.
func (m *Map) advanceEndedPlan(a Advance) (*Map, error) {
	p, _ := m.Plan(a.Plan)
	if p.Step == a.Step || p.Step == Retired && a.Step.Before(Retired) {
		return m, nil
	}
	return nil, fmt.Errorf("%w: plan %d has ended", ErrInvalidTransition, a.Plan)
}

// switchShards replaces the old shards of a plan with its new ones among the serving shards of m, which must be
// a copy made by next. It checks that the plan's range is still covered.
func (m *Map) switchShards(p Plan) error {
	keys, ok := p.Range()
	if !ok {
		return fmt.Errorf("%w: plan %d names no slices to replace", ErrInvalidRequest, p.ID)
	}
	for _, s := range p.From {
		m.remove(s)
	}
	for i := range p.To {
		p.To[i].Epoch = m.version
		m.insert(p.To[i])
	}
	return m.validateCoverage(keys)
}

// restrictReplicas returns copies of the shards that keep only the replicas listed in complete for their id. It
// fails with ErrNoReplica if a shard keeps none.
func restrictReplicas(shards []Shard, complete map[ShardID][]string) ([]Shard, error) {
	out := slices.Clone(shards)
	for i := range out {
		s := &out[i]
		s.Replicas = slices.DeleteFunc(slices.Clone(s.Replicas), func(name string) bool {
			return !slices.Contains(complete[s.ID], name)
		})
		if err := s.validateReplicas(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// abandonPlan ends a plan that has not reached Switched. If the plan was abandoned already, it returns m itself.
func (m *Map) abandonPlan(a Abandon) (*Map, error) {
	i, err := m.openPlanIndex(a.Plan)
	if err != nil {
		return nil, err
	}
	if i < 0 {
		if p, _ := m.Plan(a.Plan); p.Step == Abandoned {
			return m, nil
		}
		return nil, fmt.Errorf("%w: plan %d is retired", ErrInvalidTransition, a.Plan)
	}
	if m.plans[i].Step == Switched {
		return nil, fmt.Errorf("%w: plan %d has switched; order the change back instead", ErrInvalidTransition, a.Plan)
	}
	out := m.next()
	p := &out.plans[i]
	p.Step, p.Version, p.Reason = Abandoned, out.version, a.Reason
	out.endPlan(i)
	return out, nil
}

// openPlanIndex returns the index of an open plan in m.plans, or -1 if the plan is in the history. Any other id
// is ErrNotFound.
func (m *Map) openPlanIndex(id PlanID) (int, error) {
	if i := indexOfPlan(m.plans, id); i >= 0 {
		return i, nil
	}
	if _, known := m.Plan(id); known {
		return -1, nil
	}
	return -1, fmt.Errorf("%w: plan %d", ErrNotFound, id)
}

// endPlan moves the open plan at index i to the history, which keeps the last MaxPlanHistory plans.
func (m *Map) endPlan(i int) {
	history := append(slices.Clone(m.history), m.plans[i])
	m.history = history[max(0, len(history)-MaxPlanHistory):]
	m.plans = slices.Delete(m.plans, i, i+1)
}
