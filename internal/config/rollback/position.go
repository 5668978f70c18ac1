package rollback

// Position is the state that the disk of an instance has reached.
type Position struct {
	// Term is the latest Raft term that the instance knows. It is written to disk before the instance votes.
	Term uint64 `json:"term"`
	// Index is the index of the last log entry that is stored or was applied. An applied entry is never undone.
	Index uint64 `json:"index"`
}

// Behind reports whether a disk at p lacks a term or an entry that a disk at q has.
func (p Position) Behind(q Position) bool {
	return p.Term < q.Term || p.Index < q.Index
}

// max returns the larger term and the larger index of two positions.
func (p Position) max(q Position) Position {
	return Position{Term: max(p.Term, q.Term), Index: max(p.Index, q.Index)}
}
