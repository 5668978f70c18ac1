package rollback

import (
	"errors"
	"fmt"
)

// ErrRolledBack means that the disk of an instance is older than an earlier report of the instance, or that two
// processes use copies of one disk. docs/raft.md quotes its text.
var ErrRolledBack = errors.New("the disk of this instance is an old one, or another process runs on a copy of it")

// MaxInstances is the maximum number of instances that a Detector keeps a history of.
const MaxInstances = 32

// Detector compares the reports of other instances with their earlier reports. It keeps its history in memory only, so
// a restart of the process clears it. It is not safe for concurrent use.
type Detector struct {
	instances map[string]history
}

// history summarizes the reports of an instance.
type history struct {
	incarnation uint64 // the latest reported one
	nonce       uint64
	current     Position // furthest position reported by this incarnation
	previous    Position // furthest position reported by earlier incarnations
}

// NewDetector returns a Detector without any history.
func NewDetector() *Detector {
	return &Detector{instances: map[string]history{}}
}

// Retain drops the histories of all instances except those with the given ids.
func (d *Detector) Retain(ids []string) {
	retained := map[string]history{}
	for _, id := range ids {
		if h, known := d.instances[id]; known {
			retained[id] = h
		}
	}
	d.instances = retained
}

// Observe records a report. It returns ErrRolledBack if an earlier process of the instance reported a position that the
// disk of this process lacked at its start, or if another process reported the same incarnation. A delayed report that
// arrives after one of a later incarnation is rejected as well: the process that sent it has ended and does not see the
// answer. Observe does not record new instances above MaxInstances, and returns nil for them.
func (d *Detector) Observe(r Report) error {
	h, known := d.instances[r.ID]
	switch {
	case !known && len(d.instances) >= MaxInstances:
		return nil // not recorded: there is no earlier report to compare with
	case known && r.Incarnation < h.incarnation:
		return fmt.Errorf("%w: it reports incarnation %d after %d", ErrRolledBack, r.Incarnation, h.incarnation)
	case known && r.Incarnation == h.incarnation && r.Nonce != h.nonce:
		return fmt.Errorf("%w: another process reported the same incarnation %d", ErrRolledBack, r.Incarnation)
	case !known || r.Incarnation > h.incarnation:
		h = history{incarnation: r.Incarnation, nonce: r.Nonce, previous: h.previous.max(h.current)}
	}
	if r.AtStart.Behind(h.previous) {
		return fmt.Errorf("%w: it reported term %d and index %d, then started at term %d and index %d", ErrRolledBack,
			h.previous.Term, h.previous.Index, r.AtStart.Term, r.AtStart.Index)
	}
	h.current = h.current.max(r.AtStart).max(r.Current)
	d.instances[r.ID] = h
	return nil
}
