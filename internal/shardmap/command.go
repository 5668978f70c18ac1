package shardmap

import "fmt"

// Command is one change of a shard map. Exactly one of Request, Advance and Abandon is set. Commands are stored
// in the Raft log as CBOR, under the names in their JSON tags.
type Command struct {
	ExpectedVersion uint64       `json:"At"` // the version of the map that the command was made for; 0 means any
	Request         *PlanRequest `json:"Order"`
	Advance         *Advance     `json:"Advance"`
	Abandon         *Abandon     `json:"Abandon"`
}

// PlanRequest asks for a new plan.
type PlanRequest struct {
	Kind        PlanKind   `json:"kind"`
	Shards      []ShardID  `json:"slices"` // the shard to split or move, or the adjacent shards to merge
	Pieces      int        `json:"into"`   // the number of new shards of a split; other kinds ignore it
	ReplicaSets [][]string `json:"to"`     // one for each new shard, or one for all; empty: the first old shard's
}

// Advance moves a plan to its next step.
type Advance struct {
	Plan PlanID   `json:"Plan"`
	Step PlanStep `json:"Step"`
	// Replicas lists, for each new shard, the healthy servers that have a complete copy of it. The steps
	// Replicated and Switched require it; the others ignore it.
	Replicas map[ShardID][]string `json:"Holding"`
}

// Abandon ends a plan before its switch.
type Abandon struct {
	Plan   PlanID `json:"Plan"`
	Reason string `json:"Why"`
}

// Apply returns the version of the map after a command. Without an ExpectedVersion, Advance and Abandon are
// idempotent: one that was applied already returns the receiver and no error. A repeated Request is an error
// while its plan is open. Every error wraps one of the Err variables of this package.
func (m *Map) Apply(c Command) (*Map, error) {
	if c.ExpectedVersion != 0 && c.ExpectedVersion != m.version {
		return nil, fmt.Errorf("%w: made on %d, now %d", ErrVersionConflict, c.ExpectedVersion, m.version)
	}
	switch {
	case c.Request != nil:
		return m.openPlan(*c.Request)
	case c.Advance != nil:
		return m.advancePlan(*c.Advance)
	case c.Abandon != nil:
		return m.abandonPlan(*c.Abandon)
	}
	return nil, fmt.Errorf("%w: an empty command", ErrInvalidRequest)
}
