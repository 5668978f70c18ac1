// Package rollback tells whether an instance of the store has come back with a disk that it was already past: one restored
// from an old image, or a copy of another's. Such an instance may have voted in a term that it no longer knows, and lacks
// entries that it confirmed: a majority that counts it could lose what was committed. It touches no I/O, clock or goroutine.
package rollback

import (
	"errors"
	"fmt"
)

// ErrRolledBack says that a disk is older than what its instance was seen to hold.
var ErrRolledBack = errors.New("the disk of this instance is an old one, or another process runs on a copy of it")

// Position is how far an instance's disk is.
type Position struct {
	Term  uint64 `json:"term"`  // the latest that it knows of: it is written before a vote
	Index uint64 `json:"index"` // the last entry that lies on it, or was applied, which is never taken back
}

// Behind tells whether a disk at m misses what one at o had.
func (m Position) Behind(o Position) bool { return m.Term < o.Term || m.Index < o.Index }

func (m Position) max(o Position) Position {
	return Position{max(m.Term, o.Term), max(m.Index, o.Index)}
}

// Report is what an instance says of itself.
type Report struct {
	ID          string   `json:"id"`
	Incarnation uint64   `json:"boot"`  // counts the starts on its disk, and lies there
	Nonce       uint64   `json:"nonce"` // of the process: tells two starts of one number apart
	AtStart     Position `json:"began"` // the disk as the process found it
	Current     Position `json:"now"`
}

// MaxInstances bounds the instances that are remembered.
const MaxInstances = 32

// Detector is what an instance remembers of others. It lives as long as the process: what was seen before is not known.
type Detector struct{ instances map[string]history }

type history struct {
	incarnation, nonce uint64
	current, previous  Position // of this process, of those before it
}

// NewDetector is an empty one.
func NewDetector() *Detector { return &Detector{instances: map[string]history{}} }

// Retain forgets all but these instances.
func (m *Detector) Retain(ids []string) {
	kept := map[string]history{}
	for _, id := range ids {
		if p, ok := m.instances[id]; ok {
			kept[id] = p
		}
	}
	m.instances = kept
}

// Observe takes a report. It is refused with ErrRestored where the instance was seen to be further than its disk was as it
// began. A report that comes late, after one of a later process, is refused too: its process has ended and hears of nothing.
func (m *Detector) Observe(r Report) error {
	p, known := m.instances[r.ID]
	switch {
	case !known && len(m.instances) >= MaxInstances:
		return nil // a stranger more: nothing is known of it
	case known && r.Incarnation < p.incarnation:
		return fmt.Errorf("%w: it is at start %d, start %d was seen", ErrRolledBack, r.Incarnation, p.incarnation)
	case known && r.Incarnation == p.incarnation && r.Nonce != p.nonce:
		return fmt.Errorf("%w: start %d was seen of another process", ErrRolledBack, r.Incarnation)
	case r.Incarnation > p.incarnation || !known:
		p = history{incarnation: r.Incarnation, nonce: r.Nonce, previous: p.previous.max(p.current)}
	}
	if r.AtStart.Behind(p.previous) {
		return fmt.Errorf("%w: it held term %d and entry %d, and began with %d and %d", ErrRolledBack, p.previous.Term, p.previous.Index, r.AtStart.Term, r.AtStart.Index)
	}
	p.current = p.current.max(r.AtStart).max(r.Current)
	m.instances[r.ID] = p
	return nil
}
