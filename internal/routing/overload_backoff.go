package routing

import (
	"time"
)

const (
	initialBackoffLatencies = 0.5 // the first backoff, in median latencies of the part's class
	maxBackoffDoublings     = 4   // the backoff doubles at most this often while no attempt succeeds
)

// overloadBackoff is the backoff of a server, during which it gets no attempts after an overload or a failed
// connect. The zero value is no backoff.
type overloadBackoff struct {
	until       time.Duration
	count       int  // consecutive backoffs without a successful attempt in between
	unreachable bool // the latest failure was a failed connect
}

// start begins a backoff, unless one is in force: many attempts may fail at once, and they must not lengthen
// it. classMedian is in nanoseconds.
func (b *overloadBackoff) start(now time.Duration, classMedian float64, connectFailed bool) {
	if now >= b.until {
		delay := initialBackoffLatencies * classMedian * exp2(float64(min(b.count, maxBackoffDoublings)))
		b.until = now + time.Duration(delay)
		b.count++
	}
	b.unreachable = connectFailed
}

// reset ends the growth of the backoffs; it is called when an attempt succeeds.
func (b *overloadBackoff) reset() { b.count = 0 }

// isOver reports whether the server may be sent attempts again.
func (b *overloadBackoff) isOver(now time.Duration) bool { return now >= b.until }

// isUnreachable reports whether the server is in backoff after a failed connect. A query can wait for a
// server that is only overloaded, but not for one that is down.
func (b *overloadBackoff) isUnreachable(now time.Duration) bool {
	return b.unreachable && !b.isOver(now)
}

// remaining returns the time until the backoff is over; 0 if there is none.
func (b *overloadBackoff) remaining(now time.Duration) time.Duration { return max(0, b.until-now) }
