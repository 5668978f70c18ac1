package emulator

import (
	"net/http"
	"time"
)

const faultPollInterval = 5 * time.Millisecond

// faults is how a server misbehaves.
type faults struct {
	slowdown       float64   // factor of the work of a part
	errorShare     float64   // share of parts that end in an error, from 0 to 1
	pausedUntil    time.Time // no request is answered before
	claimedVersion uint64    // shard map version claimed for every part, of which none is held; 0: none
	partitioned    bool      // requests are not answered
}

// Pause delays requests and work until d from now.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.pausedUntil = time.Now().Add(d)
}

// SetSlowdown multiplies the work of each part; 1: normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slowdown = factor
}

// SetErrorShare makes a share of the parts, from 0 to 1, end in an error.
func (s *Server) SetErrorShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.errorShare = share
}

// ClaimShardMapVersion makes the server answer every part with «shard moved» in a shard map version
// of its own; 0 ends that.
func (s *Server) ClaimShardMapVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.claimedVersion = version
}

// Partition starts or ends a state in which requests over HTTP wait and a frame closes its connection.
func (s *Server) Partition(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.partitioned = on
}

func (s *Server) drawError() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < s.faults.errorShare
}

func (s *Server) isPartitioned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.partitioned
}

func (s *Server) isPaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.faults.pausedUntil)
}

// awaitResponsive waits until the server is neither partitioned nor paused, is killed, or the request is canceled.
func (s *Server) awaitResponsive(r *http.Request) {
	ctx := s.runContext()
	for s.isPartitioned() || s.isPaused() {
		select {
		case <-time.After(faultPollInterval):
		case <-ctx.Done():
			return
		case <-r.Context().Done():
			return
		}
	}
}
