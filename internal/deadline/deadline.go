// Package deadline implements a queue of timers: for the deadlines of attempts and queries, the router's timer, idle
// timeouts and dials. It has no clock and no goroutine; the queue's owner calls FireDue to fire the timers that are
// due.
package deadline

import (
	"slices"
	"time"
)

// Entry is one timer of a Queue. Its zero value is not armed.
type Entry struct {
	at    time.Duration // on the clock of the queue's owner
	seq   uint64        // increases with each Arm of the queue
	fire  func()
	armed bool
}

// Armed reports whether the timer is still to fire: it has neither fired nor been disarmed. A nil entry is not armed.
func (e *Entry) Armed() bool { return e != nil && e.armed }

// Queue holds timers ordered by time, and timers with the same time in the order in which they were armed. It is not
// safe for concurrent use. Its zero value is empty.
type Queue struct {
	entries []*Entry // latest first, so that removing the earliest does not move the others
	lastSeq uint64   // of the latest entry
}

// compareLatestFirst is the order of Queue.entries.
func compareLatestFirst(a, b *Entry) int {
	switch {
	case a.at != b.at && a.at > b.at, a.at == b.at && a.seq > b.seq:
		return -1
	case a.at == b.at && a.seq == b.seq:
		return 0
	}
	return 1
}

// Arm adds a timer. The first FireDue at or after the given time calls fire.
func (q *Queue) Arm(at time.Duration, fire func()) *Entry {
	q.lastSeq++
	e := &Entry{at: at, seq: q.lastSeq, fire: fire, armed: true}
	i, _ := slices.BinarySearchFunc(q.entries, e, compareLatestFirst)
	q.entries = slices.Insert(q.entries, i, e)
	return e
}

// Disarm removes a timer. It does nothing if the timer is not armed.
func (q *Queue) Disarm(e *Entry) {
	if !e.Armed() {
		return
	}
	e.armed = false
	if i, ok := slices.BinarySearchFunc(q.entries, e, compareLatestFirst); ok {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// FireDue fires the timers that are due at now, earliest first. This includes timers that the fired functions arm. It
// returns the number of timers fired.
func (q *Queue) FireDue(now time.Duration) int {
	fired := 0
	for len(q.entries) > 0 {
		last := len(q.entries) - 1
		e := q.entries[last]
		if e.at > now {
			break
		}
		q.entries[last] = nil
		q.entries = q.entries[:last]
		e.armed = false
		fired++
		e.fire()
	}
	return fired
}

// Next returns the time of the earliest timer. ok is false if no timer is armed.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[len(q.entries)-1].at, true
}

// Len returns the number of armed timers.
func (q *Queue) Len() int { return len(q.entries) }
