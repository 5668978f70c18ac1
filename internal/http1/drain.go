package http1

import "time"

// Drain makes every response the last of its connection. New connections are still served; those that stay idle are
// closed after drainIdleGrace.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drainGeneration++
	s.sweepAfter(drainIdleGrace, s.drainGeneration)
}

// Resume ends draining: connections are kept alive again, unless the server was stopped.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.stopped
	s.drainGeneration++
}

// Draining reports whether the server drains or was stopped.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// sweepAfter arms the next sweep of a draining server. The clock's owner runs it.
func (s *Server) sweepAfter(wait time.Duration, generation int) {
	s.Clock.Arm(s.Clock.Now()+wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.drainGeneration == generation && !s.stopped {
			s.sweep()
			s.sweepAfter(drainSweepInterval, generation)
		}
	})
}

// sweep interrupts idle connections, silent ones and stuck requests. It is called with the mutex locked.
func (s *Server) sweep() {
	now := s.Clock.Now()
	for c := range s.conns {
		age := now - c.stateSince
		isSilent := c.state == stateNew && age >= drainIdleGrace
		isStuck := c.state == stateReading && age >= stuckRequestAge
		if c.state == stateIdle || isSilent || isStuck {
			c.interruptRead()
		}
	}
}

// Stop waits until all connections have ended, each after the response to the request that it has begun to send.
// Serve must have returned.
func (s *Server) Stop() {
	s.mu.Lock()
	s.draining, s.stopped = true, true
	for c := range s.conns {
		if c.state.awaitsRequest() {
			c.interruptRead()
		}
	}
	s.mu.Unlock()
	s.running.Wait()
}

// Close closes all connections in any state, and waits until they have ended. Serve must have returned. It does not
// need the clock.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining, s.stopped = true, true
	for c := range s.conns {
		_ = c.Close()
	}
	for c := range s.rejected {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}
