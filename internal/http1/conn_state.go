package http1

import "time"

// connState is what a connection is doing.
type connState uint8

const (
	stateNew       connState = iota // nothing has been received yet
	stateIdle                       // between two requests
	stateReading                    // a request has begun to arrive
	stateServing                    // a request is being served
	stateLingering                  // no further request is read; what still arrives is dropped
	stateEvicted                    // lingered, and was closed by another goroutine
)

// awaitsRequest reports whether no part of a request has been read.
func (s connState) awaitsRequest() bool { return s == stateNew || s == stateIdle }

// setState enters a state, unless the connection was evicted; it reports whether the connection goes on. What would
// have interrupted the state before is void from here on.
func (s *Server) setState(c *conn, to connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == stateEvicted {
		return false
	}
	c.state, c.stateSince = to, s.Clock.Now()
	c.stateSeq++
	s.stateChanged.Broadcast()
	_ = c.SetReadDeadline(time.Time{})
	if to == stateIdle && s.stopped { // Guards against a connection that becomes idle after Stop has looked at it.
		c.interruptRead()
	}
	return true
}

// armReadTimeout interrupts the state that a connection is in at a time. Guards the next state against a deadline that
// fires as the state ends: clocks may fire after they were disarmed.
func (c *conn) armReadTimeout(at time.Duration) (disarm func()) {
	seq := c.stateSeq
	return c.server.Clock.Arm(at, func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		if c.stateSeq == seq {
			c.interruptRead()
		}
	})
}
