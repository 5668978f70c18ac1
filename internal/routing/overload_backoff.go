package routing

import (
	"math"
	"time"
)

const (
	initialBackoffLatencies = 0.5 // the first pause, in median latencies of the class of its part
	maxBackoffDoublings     = 4   // the pause doubles so often while the server serves nothing
)

// overloadBackoff is the pause in which a server gets no attempts, after it was overloaded or could not be
// connected to.
type overloadBackoff struct {
	until       time.Duration
	count       int  // pauses in a row with nothing served between them
	unreachable bool // the latest pause is for an attempt that could not be delivered
}

// start begins a pause. Many attempts may fail at once: within a pause none is added.
func (b *overloadBackoff) start(now time.Duration, classMedian float64, connectFailed bool) {
	if now >= b.until {
		pause := initialBackoffLatencies * classMedian * math.Exp2(float64(min(b.count, maxBackoffDoublings)))
		b.until = now + time.Duration(pause)
		b.count++
	}
	b.unreachable = connectFailed
}

// reset says that the server has served an attempt.
func (b *overloadBackoff) reset() { b.count = 0 }

// isOver tells whether the server may be sent attempts again.
func (b *overloadBackoff) isOver(now time.Duration) bool { return now >= b.until }

// isUnreachable tells whether the server is in a pause after a failed connect. A query can wait for a server
// that is only overloaded, but not for one that is down.
func (b *overloadBackoff) isUnreachable(now time.Duration) bool {
	return b.unreachable && !b.isOver(now)
}

// remaining is how much of the pause is left.
func (b *overloadBackoff) remaining(now time.Duration) time.Duration { return max(0, b.until-now) }
