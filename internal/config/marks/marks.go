// Package marks tells whether an instance of the store has come back with a disk that it was already past: one restored
// from an old image, or a copy of another's. Such an instance may have voted in a term that it no longer knows, and lacks
// entries that it confirmed: a majority that counts it could lose what was committed. It touches no I/O, clock or goroutine.
package marks

import (
	"errors"
	"fmt"
)

// ErrRestored says that a disk is older than what its instance was seen to hold.
var ErrRestored = errors.New("the disk of this instance is an old one, or another process runs on a copy of it")

// Mark is how far an instance's disk is.
type Mark struct {
	Term  uint64 `json:"term"`  // the latest that it knows of: it is written before a vote
	Index uint64 `json:"index"` // the last entry that lies on it, or was applied, which is never taken back
}

// Lacks tells whether a disk at m misses what one at o had.
func (m Mark) Lacks(o Mark) bool { return m.Term < o.Term || m.Index < o.Index }

func (m Mark) join(o Mark) Mark { return Mark{max(m.Term, o.Term), max(m.Index, o.Index)} }

// Report is what an instance says of itself.
type Report struct {
	ID    string `json:"id"`
	Boot  uint64 `json:"boot"`  // counts the starts on its disk, and lies there
	Nonce uint64 `json:"nonce"` // of the process: tells two starts of one number apart
	Began Mark   `json:"began"` // the disk as the process found it
	Now   Mark   `json:"now"`
}

// MaxKnown bounds the instances that are remembered.
const MaxKnown = 32

// Memory is what an instance remembers of others. It lives as long as the process: what was seen before is not known.
type Memory struct{ seen map[string]past }

type past struct {
	boot, nonce uint64
	now, before Mark // of this process, of those before it
}

// NewMemory is an empty one.
func NewMemory() *Memory { return &Memory{seen: map[string]past{}} }

// Keep forgets all but these instances.
func (m *Memory) Keep(ids []string) {
	kept := map[string]past{}
	for _, id := range ids {
		if p, ok := m.seen[id]; ok {
			kept[id] = p
		}
	}
	m.seen = kept
}

// Hear takes a report. It is refused with ErrRestored where the instance was seen to be further than its disk was as it
// began. A report that comes late, after one of a later process, is refused too: its process has ended and hears of nothing.
func (m *Memory) Hear(r Report) error {
	p, known := m.seen[r.ID]
	switch {
	case !known && len(m.seen) >= MaxKnown:
		return nil // a stranger more: nothing is known of it
	case known && r.Boot < p.boot:
		return fmt.Errorf("%w: it is at start %d, start %d was seen", ErrRestored, r.Boot, p.boot)
	case known && r.Boot == p.boot && r.Nonce != p.nonce:
		return fmt.Errorf("%w: start %d was seen of another process", ErrRestored, r.Boot)
	case r.Boot > p.boot || !known:
		p = past{boot: r.Boot, nonce: r.Nonce, before: p.before.join(p.now)}
	}
	if r.Began.Lacks(p.before) {
		return fmt.Errorf("%w: it held term %d and entry %d, and began with %d and %d", ErrRestored, p.before.Term, p.before.Index, r.Began.Term, r.Began.Index)
	}
	p.now = p.now.join(r.Began).join(r.Now)
	m.seen[r.ID] = p
	return nil
}
