package coverage

import "linkpass/internal/shardmap"

// Tracker records the answers of one query and compares them with what it requested.
type Tracker struct {
	requested, answered RangeSet
	duplicate           bool // Record has rejected an answer
}

// NewTracker returns the tracker of a query that requests the union of the ranges.
func NewTracker(requested ...shardmap.Range) *Tracker {
	t := &Tracker{requested: NewRangeSet(requested...)}
	t.answered.ranges = make([]shardmap.Range, 0, len(t.requested.ranges)+1)
	return t
}

// Requested returns the ranges that the query requests, in key order. The slice must not be modified: it is the
// tracker's own, which saves a copy on the request path.
func (t *Tracker) Requested() []shardmap.Range { return t.requested.ranges }

// Record records the answer for a range. It reports false if the range is invalid or any of its keys was
// answered before or never requested; the caller must not use such an answer.
func (t *Tracker) Record(r shardmap.Range) bool {
	if !r.Valid() || !t.requested.Covers(r) || !t.answered.Add(r) {
		t.duplicate = true
		return false
	}
	return true
}

// Complete reports whether every requested key was answered, exactly once.
func (t *Tracker) Complete() bool { return t.requested.Equal(t.answered) }

// Duplicate reports whether Record has rejected an answer, for whichever reason.
func (t *Tracker) Duplicate() bool { return t.duplicate }

// Missing returns the ranges that were requested and are not answered yet, in key order.
func (t *Tracker) Missing() []shardmap.Range { return t.requested.Subtract(t.answered).Ranges() }
