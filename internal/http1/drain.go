package http1

import "time"

// Drain closes each connection after its next response, and closes idle connections after drainIdleGrace. New
// connections are still accepted and served. Resume ends draining.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drainGeneration++
	s.scheduleSweep(drainIdleGrace, s.drainGeneration)
}

// Resume ends draining, so that connections are kept alive again. It has no effect on a server that has been stopped.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.stopped
	s.drainGeneration++
}

// Draining reports whether the server is draining or has been stopped.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// scheduleSweep schedules a sweep after the given wait; each sweep schedules the next. It does nothing more once Drain
// or Resume has changed the generation, or the server has been stopped. Sweeps run on the clock's goroutine.
func (s *Server) scheduleSweep(wait time.Duration, generation int) {
	s.Clock.Arm(s.Clock.Now()+wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.drainGeneration == generation && !s.stopped {
			s.sweep()
			s.scheduleSweep(drainSweepInterval, generation)
		}
	})
}

// sweep interrupts connections that are idle, that have sent nothing for drainIdleGrace, or whose request has been
// incomplete for stuckRequestAge. s.mu must be held.
func (s *Server) sweep() {
	now := s.Clock.Now()
	for c := range s.conns {
		age := now - c.stateSince
		isSilent := c.state == stateNew && age >= drainIdleGrace
		isStuck := c.state == stateReading && age >= stuckRequestAge
		if c.state == stateIdle || isSilent || isStuck {
			c.interruptFor(closedDraining)
		}
	}
}

// Stop ends all connections and waits for them. A connection on which a request has begun to arrive ends after the
// response to that request. Serve must have returned.
func (s *Server) Stop() {
	s.mu.Lock()
	s.draining, s.stopped = true, true
	for c := range s.conns {
		if c.state.awaitsRequest() {
			c.interruptFor(closedDraining)
		}
	}
	s.mu.Unlock()
	s.running.Wait()
}

// Close closes all connections at once, whatever their state, and waits until their goroutines have ended. Serve must
// have returned. Close works even if the clock no longer fires deadlines.
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
