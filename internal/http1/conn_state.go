package http1

import "time"

// connState is the state of a connection.
type connState uint8

const (
	stateNew       connState = iota // no byte has been received yet
	stateIdle                       // waiting for the next request
	stateReading                    // part of a request has been received
	stateServing                    // a request is being served
	stateLingering                  // no further request is read; bytes that still arrive are discarded
	stateEvicted                    // was lingering and has been closed by another goroutine
)

// awaitsRequest reports whether the connection waits for the first byte of a request.
func (s connState) awaitsRequest() bool { return s == stateNew || s == stateIdle }

// setState moves c to a state. It returns false, and changes nothing, if c has been evicted. Interrupts and deadlines
// of the previous state have no effect on the new one.
func (s *Server) setState(c *conn, to connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == stateEvicted {
		return false
	}
	c.state, c.stateSince, c.interruptedFor = to, s.Clock.Now(), ""
	c.stateSeq++
	s.stateChanged.Broadcast()
	_ = c.SetReadDeadline(time.Time{})
	if to == stateIdle && s.stopped { // Stop interrupts only the connections that are idle when it is called.
		c.interruptFor(closedDraining)
	}
	return true
}

// armReadTimeout interrupts reads at the given time if the connection is still in its current state. The state is
// checked because a clock may fire a deadline after it was disarmed, which would interrupt the next state.
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
