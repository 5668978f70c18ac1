package coverage

import "linkpass/internal/shardmap"

// Tracker records the answers of one query and compares them with what it requested.
type Tracker struct {
	requested, answered RangeSet
	duplicate           bool
}

// NewTracker starts a query that requests the union of the ranges.
func NewTracker(requested ...shardmap.Range) *Tracker {
	t := &Tracker{requested: NewRangeSet(requested...)}
	t.answered.ranges = make([]shardmap.Range, 0, len(t.requested.ranges)+1)
	return t
}

// Requested lists what the query requests, in key order. The slice must not be modified:
// it is the tracker's own, which saves the request path a copy.
func (t *Tracker) Requested() []shardmap.Range { return t.requested.ranges }

// Record records the answer for a range. It reports false, and the answer must not be
// used, if any key of it was answered before or never requested.
func (t *Tracker) Record(r shardmap.Range) bool {
	if !r.Valid() || !t.requested.Covers(r) || !t.answered.Add(r) {
		t.duplicate = true
		return false
	}
	return true
}

// Complete reports whether every requested key was answered, exactly once.
func (t *Tracker) Complete() bool { return t.requested.Equal(t.answered) }

// Duplicate reports whether Record has rejected an answer.
func (t *Tracker) Duplicate() bool { return t.duplicate }

// Missing lists the ranges that were requested and are not answered.
func (t *Tracker) Missing() []shardmap.Range { return t.requested.Subtract(t.answered).Ranges() }
