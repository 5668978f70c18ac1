package shardmap

import (
	"cmp"
	"fmt"
	"slices"
)

// openPlan returns the next version, with a new plan at step Planned.
func (m *Map) openPlan(req PlanRequest) (*Map, error) {
	if len(m.plans) >= MaxOpenPlans {
		return nil, fmt.Errorf("%w: %d plans are open", ErrLimitExceeded, len(m.plans))
	}
	from, err := m.sourceShards(req)
	if err != nil {
		return nil, err
	}
	p := Plan{ID: m.nextPlanID, Kind: req.Kind, Step: Planned, From: from, Version: m.version + 1}
	if err := m.checkOverlap(p); err != nil {
		return nil, err
	}
	p.To, err = targetShards(req, p, m.nextShardID)
	if err != nil {
		return nil, err
	}
	if m.Len()+len(p.To) > MaxShards {
		return nil, fmt.Errorf("%w: %d slices", ErrLimitExceeded, m.Len())
	}
	out := m.next()
	out.nextPlanID++
	out.nextShardID += ShardID(len(p.To))
	out.plans = append(out.plans, p)
	return out, nil
}

// checkOverlap checks that a new plan changes no key that an open plan changes. While a plan without old shards is open,
// no other can be opened: earlier versions of the program cannot compare the two.
func (m *Map) checkOverlap(p Plan) error {
	for _, other := range m.plans {
		keys, ok := other.Range()
		if !ok {
			return fmt.Errorf("%w: plan %d names no slices; abandon it first", ErrInvalidRequest, other.ID)
		}
		if other.overlaps(p) {
			return fmt.Errorf("%w: plan %d is at %s", ErrPlanOverlap, other.ID, keys)
		}
	}
	return nil
}

// targetShards returns the new shards that replace the old ones of plan p, with ids from firstID on.
func targetShards(req PlanRequest, p Plan, firstID ShardID) ([]Shard, error) {
	keys, ok := p.Range()
	if !ok {
		return nil, fmt.Errorf("%w: no slices are named", ErrInvalidRequest)
	}
	ranges := []Range{keys}
	if req.Kind == Split {
		ranges = keys.Split(req.Pieces)
		if ranges == nil {
			return nil, fmt.Errorf("%w: %s has too few keys for %d slices", ErrInvalidRequest, keys, req.Pieces)
		}
	}
	sets := req.ReplicaSets
	if len(sets) > 1 && len(sets) != len(ranges) {
		return nil, fmt.Errorf("%w: %d sets of holders for %d slices", ErrInvalidRequest, len(sets), len(ranges))
	}
	var shards []Shard
	for i, r := range ranges {
		s := Shard{ID: firstID + ShardID(i), Range: r, Replicas: p.From[0].Replicas}
		if len(sets) > 0 {
			s.Replicas = slices.Clone(sets[i%len(sets)])
		}
		if err := s.validateReplicas(); err != nil {
			return nil, err
		}
		shards = append(shards, s)
	}
	return shards, nil
}

// sourceShards returns the serving shards that a request names, in key order, after
// checking that they fit the kind of plan.
func (m *Map) sourceShards(req PlanRequest) ([]Shard, error) {
	var from []Shard
	for _, id := range req.Shards {
		s, ok := m.Shard(id)
		if !ok {
			return nil, fmt.Errorf("%w: slice %d does not serve at version %d", ErrNotFound, id, m.version)
		}
		from = append(from, s)
	}
	slices.SortFunc(from, func(a, b Shard) int { return cmp.Compare(a.Range.First, b.Range.First) })
	switch req.Kind {
	case Split, Move:
		return from, validateSingleSource(req, len(from))
	case Merge:
		return from, validateMergeSources(from)
	default:
		return nil, fmt.Errorf("%w: kind %.20q", ErrInvalidRequest, req.Kind)
	}
}

// validateSingleSource checks a request to split or move one shard.
func validateSingleSource(req PlanRequest, sources int) error {
	if sources != 1 {
		return fmt.Errorf("%w: a %s is of one slice, not %d", ErrInvalidRequest, req.Kind, sources)
	}
	if req.Kind == Split && (req.Pieces < 2 || req.Pieces > maxPieces) {
		return fmt.Errorf("%w: a split into %d; 2 to %d are allowed", ErrInvalidRequest, req.Pieces, maxPieces)
	}
	if req.Kind == Move && len(req.ReplicaSets) != 1 {
		return fmt.Errorf("%w: a move needs one set of holders", ErrInvalidRequest)
	}
	return nil
}

// validateMergeSources checks that shards in key order are adjacent. If a shard owns the whole key space and is
// named twice, its last key + 1 wraps to its first key, 0; the check for a first key of 0 rejects that.
func validateMergeSources(from []Shard) error {
	if len(from) < 2 || len(from) > maxPieces {
		return fmt.Errorf("%w: a merge of %d slices; 2 to %d are allowed", ErrInvalidRequest, len(from), maxPieces)
	}
	for i, s := range from[1:] {
		if s.Range.First != from[i].Range.Last+1 || s.Range.First == 0 {
			return fmt.Errorf("%w: slices %d and %d are no neighbours", ErrIncompleteCoverage, from[i].ID, s.ID)
		}
	}
	return nil
}
