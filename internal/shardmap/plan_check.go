package shardmap

import (
	"fmt"
	"math"
	"slices"
)

// maxIssuedNumber bounds the version and the next ids of a layout that is proposed, so that they never wrap around.
const maxIssuedNumber = math.MaxUint64 / 2

// CheckProposal checks a version of the map that is about to be proposed to replace another one; nil: there is none. It
// is stricter than Validate, which accepts any plan that earlier versions of the program accepted: Validate decides the
// outcome of commands in the log, which must be the same at instances of all versions, whereas CheckProposal keeps
// malformed plans out of the log. Malformed plans that are in the log already may stay, so that others can be abandoned.
func (m *Map) CheckProposal(replaced *Map) error {
	if m.version > maxIssuedNumber || uint64(m.nextShardID) > maxIssuedNumber || uint64(m.nextPlanID) > maxIssuedNumber {
		return fmt.Errorf("%w: version %d, next slice %d, next plan %d", ErrLimitExceeded,
			m.version, m.nextShardID, m.nextPlanID)
	}
	for i, p := range m.plans {
		if replaced != nil && slices.ContainsFunc(replaced.plans, p.equal) {
			continue
		}
		if indexOfPlan(m.plans[:i], p.ID) >= 0 {
			return fmt.Errorf("%w: plan %d", ErrDuplicateID, p.ID)
		}
		if err := m.CheckPlan(p); err != nil {
			return err
		}
	}
	if replaced == nil {
		return nil
	}
	if err := replaced.Validate(); err != nil {
		return fmt.Errorf("remove the index first, as its layout is invalid: %w", err)
	}
	return nil
}

// CheckAdvance checks that an Advance to the switch is proposed for a plan that is not malformed.
func (m *Map) CheckAdvance(a Advance) error {
	i := indexOfPlan(m.plans, a.Plan)
	if i < 0 || a.Step != Switched {
		return nil
	}
	return m.CheckPlan(m.plans[i])
}

// CheckPlan checks that an open plan is one that a PlanRequest could have opened on this map: its old and its new shards
// divide the same range of keys, and those that serve at its step are serving shards of the map, with the same ranges. A
// malformed plan can be abandoned, but must not be carried out.
func (m *Map) CheckPlan(p Plan) error {
	switch p.Step {
	case Planned, Copying, Replicated, Switched:
	default:
		return fmt.Errorf("%w: plan %d is open at %.20q", ErrInvalidRequest, p.ID, p.Step)
	}
	from, ok := joinedRange(p.From)
	if !ok {
		return fmt.Errorf("%w: plan %d has no slices to replace, or some that are no neighbours", ErrInvalidRequest, p.ID)
	}
	to, ok := joinedRange(p.To)
	if !ok || to != from {
		return fmt.Errorf("%w: the new slices of plan %d do not divide %s", ErrIncompleteCoverage, p.ID, from)
	}
	serving := p.From
	if p.Step == Switched {
		serving = p.To
	}
	for _, s := range serving {
		if current, ok := m.Shard(s.ID); !ok || current.Range != s.Range {
			return fmt.Errorf("%w: slice %d of plan %d does not serve as the plan describes it", ErrNotFound, s.ID, p.ID)
		}
	}
	return nil
}

// joinedRange returns the range of keys that shards in key order divide; false if there are none or if they are not
// adjacent.
func joinedRange(shards []Shard) (Range, bool) {
	if len(shards) == 0 {
		return Range{}, false
	}
	for i, s := range shards[1:] {
		if s.Range.First != shards[i].Range.Last+1 || s.Range.First == 0 {
			return Range{}, false
		}
	}
	return Range{First: shards[0].Range.First, Last: shards[len(shards)-1].Range.Last}, true
}
