package emulator

import (
	"net/http"
	"time"
)

// faultPollInterval is how often a waiting request checks whether the pause or the partition has ended.
const faultPollInterval = 5 * time.Millisecond

// faults holds the faults that a server simulates.
type faults struct {
	slowdown       float64   // factor on the work of a part; 1 is normal speed
	errorShare     float64   // share of parts that end in an error, from 0 to 1
	pausedUntil    time.Time // until this time requests over HTTP wait and no work starts
	claimedVersion uint64    // shard map version claimed for every part, with no shard held; 0 for no claim
	partitioned    bool      // requests are not answered
}

// Pause delays requests over HTTP and the work on parts until d from now.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.pausedUntil = time.Now().Add(d)
}

// SetSlowdown multiplies the work of each part by a factor; 1 is normal speed.
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

// ClaimShardMapVersion makes the server answer every part over HTTP as if the shard had moved, with the given shard
// map version instead of its own. Version 0 ends the fault.
func (s *Server) ClaimShardMapVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.claimedVersion = version
}

// Partition starts or ends a network partition: meanwhile, requests over HTTP wait for its end and a frame closes its
// connection.
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

// awaitResponsive waits until the server is neither partitioned nor paused. It returns early if the server is killed
// or the request is canceled.
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
