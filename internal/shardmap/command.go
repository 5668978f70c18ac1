package shardmap

import "fmt"

// Command is one change of a shard map. Exactly one of Request, Advance and Abandon is
// set. Commands are stored in the Raft log in CBOR, under the names in their tags.
type Command struct {
	ExpectedVersion uint64       `json:"At"` // the version that the command was made for; 0: any
	Request         *PlanRequest `json:"Order"`
	Advance         *Advance     `json:"Advance"`
	Abandon         *Abandon     `json:"Abandon"`
}

// PlanRequest asks for a new plan.
type PlanRequest struct {
	Kind        PlanKind   `json:"kind"`
	Shards      []ShardID  `json:"slices"` // one to split or move; adjacent ones to merge
	Pieces      int        `json:"into"`   // of a split
	ReplicaSets [][]string `json:"to"`     // one for each new shard; a single one is for all; none: as before
}

// Advance takes a plan to its next step.
type Advance struct {
	Plan PlanID   `json:"Plan"`
	Step PlanStep `json:"Step"`
	// Replicas are the healthy servers that have a complete copy of each new shard. The
	// steps Replicated and Switched need them.
	Replicas map[ShardID][]string `json:"Holding"`
}

// Abandon ends a plan before its switch.
type Abandon struct {
	Plan   PlanID `json:"Plan"`
	Reason string `json:"Why"`
}

// Apply returns the version after a command. It is idempotent: a command that was
// carried out already returns the receiver and no error.
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
