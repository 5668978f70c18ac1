package rollback

import (
	"errors"
	"fmt"
)

// ErrRolledBack means that an instance's disk is older than what the instance was seen to have, or that two
// processes use copies of one disk.
var ErrRolledBack = errors.New("the disk of this instance is an old one, or another process runs on a copy of it")

// MaxInstances bounds the instances that a Detector remembers.
const MaxInstances = 32

// Detector compares the reports of other instances with their earlier ones. Its memory ends with the process.
// It is not safe for concurrent use.
type Detector struct {
	instances map[string]history
}

// history is what was seen of an instance.
type history struct {
	incarnation uint64
	nonce       uint64
	current     Position // reached by this incarnation
	previous    Position // reached by those before it
}

// NewDetector returns a Detector that has seen no report.
func NewDetector() *Detector {
	return &Detector{instances: map[string]history{}}
}

// Retain forgets all instances but these.
func (d *Detector) Retain(ids []string) {
	retained := map[string]history{}
	for _, id := range ids {
		if h, known := d.instances[id]; known {
			retained[id] = h
		}
	}
	d.instances = retained
}

// Observe records a report. It returns ErrRolledBack if the instance was seen further than its disk was at its
// start. A late report that follows one of a later incarnation is rejected as well: its process has ended and
// does not see the answer.
func (d *Detector) Observe(r Report) error {
	h, known := d.instances[r.ID]
	switch {
	case !known && len(d.instances) >= MaxInstances:
		return nil // not remembered: nothing to compare with
	case known && r.Incarnation < h.incarnation:
		return fmt.Errorf("%w: it is at start %d, start %d was reported", ErrRolledBack, r.Incarnation, h.incarnation)
	case known && r.Incarnation == h.incarnation && r.Nonce != h.nonce:
		return fmt.Errorf("%w: start %d was reported by another process", ErrRolledBack, r.Incarnation)
	case !known || r.Incarnation > h.incarnation:
		h = history{incarnation: r.Incarnation, nonce: r.Nonce, previous: h.previous.max(h.current)}
	}
	if r.AtStart.Behind(h.previous) {
		return fmt.Errorf("%w: it had term %d and entry %d, and started with %d and %d", ErrRolledBack,
			h.previous.Term, h.previous.Index, r.AtStart.Term, r.AtStart.Index)
	}
	h.current = h.current.max(r.AtStart).max(r.Current)
	d.instances[r.ID] = h
	return nil
}
