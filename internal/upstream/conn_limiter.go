package upstream

import "sync/atomic"

// ConnLimiter limits the total number of connections of all clients, including those being dialed, because each uses a
// file descriptor. Its methods may be called concurrently. A client with a nil limiter has no limit; the zero value
// allows no connections.
type ConnLimiter struct {
	limit     atomic.Int64
	available atomic.Int64 // negative if the limit was lowered below the number of open connections
}

// NewConnLimiter returns a limiter that allows n connections.
func NewConnLimiter(n int) *ConnLimiter {
	l := &ConnLimiter{}
	l.SetLimit(n)
	return l
}

// SetLimit changes the limit to n connections. If more are open, they are closed as they become idle.
func (l *ConnLimiter) SetLimit(n int) { l.available.Add(int64(n) - l.limit.Swap(int64(n))) }

// acquire reports whether one more connection may be opened, and counts it if so.
func (l *ConnLimiter) acquire() bool {
	if l == nil || l.available.Add(-1) >= 0 {
		return true
	}
	l.available.Add(1)
	return false
}

// release must be called once for each connection that acquire has allowed, after it is closed or its dial failed.
func (l *ConnLimiter) release() {
	if l != nil {
		l.available.Add(1)
	}
}

// exceeded reports whether more connections are open than the limit allows.
func (l *ConnLimiter) exceeded() bool { return l != nil && l.available.Load() < 0 }
