package upstream

import "sync/atomic"

// ConnLimiter limits the connections of all clients together, dials included: each takes a file descriptor. Its
// methods may be called concurrently. A nil limiter has no limit.
type ConnLimiter struct {
	limit     atomic.Int64
	available atomic.Int64 // below zero: the limit was lowered below the number of open connections
}

// NewConnLimiter makes a limiter of n connections.
func NewConnLimiter(n int) *ConnLimiter {
	l := &ConnLimiter{}
	l.SetLimit(n)
	return l
}

// SetLimit changes the limit to n connections. If more are open, they are closed as they become idle.
func (l *ConnLimiter) SetLimit(n int) { l.available.Add(int64(n) - l.limit.Swap(int64(n))) }

// acquire tells whether one more connection may be opened, and counts it if so.
func (l *ConnLimiter) acquire() bool {
	if l == nil || l.available.Add(-1) >= 0 {
		return true
	}
	l.available.Add(1)
	return false
}

// release is called once for each connection that acquire has allowed, after it is closed.
func (l *ConnLimiter) release() {
	if l != nil {
		l.available.Add(1)
	}
}

// exceeded tells whether more connections are open than the limit allows.
func (l *ConnLimiter) exceeded() bool { return l != nil && l.available.Load() < 0 }
