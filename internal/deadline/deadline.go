// Package deadline keeps every deadline of the program in one sorted
// structure: attempts, clients, timers of the module, idle links and connects.
// Its owner sweeps it once a turn.
package deadline

import (
	"slices"
	"time"
)

// Entry is one deadline. Its zero value is not armed.
type Entry struct {
	at    time.Duration
	seq   uint64
	fire  func()
	armed bool
}

// Armed tells whether the entry is still to come.
func (e *Entry) Armed() bool { return e != nil && e.armed }

// Queue holds entries sorted by time and, at one time, by order of arming. It
// belongs to one goroutine.
type Queue struct {
	entries []*Entry // latest first, so that the earliest leaves without a shift
	seq     uint64
}

func later(a, b *Entry) int {
	switch {
	case a.at != b.at && a.at > b.at, a.at == b.at && a.seq > b.seq:
		return -1
	case a.at == b.at && a.seq == b.seq:
		return 0
	}
	return 1
}

// Arm adds a deadline; fire is called by the sweep that finds it due.
func (q *Queue) Arm(at time.Duration, fire func()) *Entry {
	q.seq++
	e := &Entry{at: at, seq: q.seq, fire: fire, armed: true}
	i, _ := slices.BinarySearchFunc(q.entries, e, later)
	q.entries = slices.Insert(q.entries, i, e)
	return e
}

// Disarm takes a deadline out. One that has fired, or was never armed, is left.
func (q *Queue) Disarm(e *Entry) {
	if !e.Armed() {
		return
	}
	e.armed = false
	if i, ok := slices.BinarySearchFunc(q.entries, e, later); ok {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// Sweep fires what is due at now, earliest first, and returns how many. What
// is armed meanwhile fires too if it is due.
func (q *Queue) Sweep(now time.Duration) int {
	n := 0
	for len(q.entries) > 0 {
		last := len(q.entries) - 1
		e := q.entries[last]
		if e.at > now {
			break
		}
		q.entries[last] = nil
		q.entries = q.entries[:last]
		e.armed = false
		n++
		e.fire()
	}
	return n
}

// Next is the time of the earliest deadline.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[len(q.entries)-1].at, true
}

// Len is the number of deadlines armed.
func (q *Queue) Len() int { return len(q.entries) }
