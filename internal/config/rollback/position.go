package rollback

// Position is how far an instance's disk is.
type Position struct {
	// Term is the latest term that the instance knows. It is written before a vote.
	Term uint64 `json:"term"`
	// Index is the last entry that is stored or was applied; an applied entry is never taken back.
	Index uint64 `json:"index"`
}

// Behind tells whether a disk at p lacks something that one at q has.
func (p Position) Behind(q Position) bool {
	return p.Term < q.Term || p.Index < q.Index
}

func (p Position) max(q Position) Position {
	return Position{Term: max(p.Term, q.Term), Index: max(p.Index, q.Index)}
}
