package shardmap

import "fmt"

// Validate checks every invariant of the version: the serving shards cover the key space exactly once, no id is
// used twice, open plans do not overlap, and each shard has valid replicas. Apply checks only what a command
// changes.
func (m *Map) Validate() error {
	if err := m.validateCoverage(FullRange); err != nil {
		return err
	}
	ids := map[ShardID]bool{}
	for _, s := range m.Shards() {
		if err := m.validateShard(s, ids); err != nil {
			return err
		}
	}
	for i, p := range m.plans {
		if err := m.validatePlan(p, m.plans[:i], ids); err != nil {
			return err
		}
	}
	return nil
}

// validatePlan checks an open plan, which must not overlap an earlier one, and those of its shards that do not
// serve. ids has the ids of the shards checked so far, to which it adds.
func (m *Map) validatePlan(p Plan, earlier []Plan, ids map[ShardID]bool) error {
	if p.ID >= m.nextPlanID {
		return fmt.Errorf("%w: plan %d", ErrDuplicateID, p.ID)
	}
	for _, other := range earlier {
		if other.overlaps(p) {
			return fmt.Errorf("%w: plans %d and %d", ErrPlanOverlap, other.ID, p.ID)
		}
	}
	notServing := p.To
	if p.Step == Switched {
		notServing = p.From
	}
	for _, s := range notServing {
		if err := m.validateShard(s, ids); err != nil {
			return err
		}
	}
	return nil
}

// validateShard checks one shard, whose id must not be in ids yet, and adds its id to ids.
func (m *Map) validateShard(s Shard, ids map[ShardID]bool) error {
	if ids[s.ID] || s.ID < FirstDynamicID || s.ID >= m.nextShardID {
		return fmt.Errorf("%w: slice %d", ErrDuplicateID, s.ID)
	}
	ids[s.ID] = true
	if s.Epoch > m.version {
		return fmt.Errorf("%w: slice %d has epoch %d at version %d", ErrVersionConflict, s.ID, s.Epoch, m.version)
	}
	return s.validateReplicas()
}

// validateCoverage checks that the serving shards cover every key of a range exactly once.
func (m *Map) validateCoverage(r Range) error {
	nextKey, complete := r.First, false
	var err error
	m.ForEach(r, func(s Shard) bool {
		gap := s.Range.First > nextKey
		overlap := s.Range.First < nextKey && s.Range.First > r.First
		if !s.Range.Valid() || complete || gap || overlap {
			err = fmt.Errorf("%w: slice %d owns %s, expected from %016x", ErrIncompleteCoverage, s.ID, s.Range, nextKey)
			return false
		}
		complete = s.Range.Last >= r.Last
		nextKey = s.Range.Last + 1
		return true
	})
	if err == nil && !complete {
		err = fmt.Errorf("%w: nothing from %016x on", ErrIncompleteCoverage, nextKey)
	}
	return err
}
