// Package deadline keeps the timers of the program in one queue: deadlines of attempts and queries, the router's timer,
// idle timeouts, dials. It has no clock and no goroutine: its owner fires what is due.
package deadline

import (
	"slices"
	"time"
)

// Entry is one timer. Its zero value is not armed.
type Entry struct {
	at    time.Duration // since the program's start
	seq   uint64        // in the order of arming
	fire  func()
	armed bool
}

// Armed tells whether the timer will fire: it has not fired and was not disarmed. A nil entry is not armed.
func (e *Entry) Armed() bool { return e != nil && e.armed }

// Queue holds timers in the order of their times, and those of one time in the order of arming. It belongs to one
// goroutine. Its zero value is empty.
type Queue struct {
	entries []*Entry // latest first, so that the earliest is removed without moving the others
	seq     uint64
}

// compareLatestFirst orders entries as Queue.entries has them.
func compareLatestFirst(a, b *Entry) int {
	switch {
	case a.at != b.at && a.at > b.at, a.at == b.at && a.seq > b.seq:
		return -1
	case a.at == b.at && a.seq == b.seq:
		return 0
	}
	return 1
}

// Arm adds a timer. The first Sweep at or after that time calls fire.
func (q *Queue) Arm(at time.Duration, fire func()) *Entry {
	q.seq++
	e := &Entry{at: at, seq: q.seq, fire: fire, armed: true}
	i, _ := slices.BinarySearchFunc(q.entries, e, compareLatestFirst)
	q.entries = slices.Insert(q.entries, i, e)
	return e
}

// Disarm removes a timer. It does nothing where the timer is not armed.
func (q *Queue) Disarm(e *Entry) {
	if !e.Armed() {
		return
	}
	e.armed = false
	if i, ok := slices.BinarySearchFunc(q.entries, e, compareLatestFirst); ok {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// Sweep fires the timers that are due, earliest first, also those that are armed meanwhile. It returns how many it
// fired.
func (q *Queue) Sweep(now time.Duration) int {
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

// Next is the time of the earliest timer; false: none is armed.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[len(q.entries)-1].at, true
}

// Len is the number of armed timers.
func (q *Queue) Len() int { return len(q.entries) }
