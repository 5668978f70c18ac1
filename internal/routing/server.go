package routing

import (
	"slices"
	"time"
)

// server is what is known of one server. Each rule has a field of its own.
type server struct {
	id       ServerID
	endpoint Endpoint
	listed   bool

	inFlight  inFlightAttempts
	latency   *slidingWindow // of this coordinator's parts, in nanoseconds
	report    loadReport
	health    healthScores
	checks    healthCheckState
	backoff   overloadBackoff
	slowStart slowStartState
}

// resetForRestart forgets what was learned of the server's incarnation before, but for a backoff in force.
func (s *server) resetForRestart(e Endpoint, classes int) {
	s.endpoint = e
	s.health.byClass = slices.Repeat([]float64{1}, classes)
	s.checks.consecutiveFailures = 0
	s.report.values = nil
	s.latency = newSlidingWindow(statsWindow)
}

// inFlightAttempts counts this coordinator's attempts at a server; canceled ones count until their result
// comes.
type inFlightAttempts struct {
	count      int
	sumSentAt  time.Duration // sum of the times at which they were sent
	lastSentAt time.Duration
}

func (f *inFlightAttempts) sent(now time.Duration) {
	f.count++
	f.sumSentAt += now
	f.lastSentAt = now
}

func (f *inFlightAttempts) ended(sentAt time.Duration) {
	f.count--
	f.sumSentAt -= sentAt
}

// meanAge is the mean age of the attempts in flight, in nanoseconds. One attempt more, of age 0, counts with
// them: the age of a few says little.
func (f *inFlightAttempts) meanAge(now time.Duration) float64 {
	return float64(time.Duration(f.count)*now-f.sumSentAt) / float64(f.count+1)
}

// filter returns the servers for which keep is true, in a list of its own.
func filter(list []*server, keep func(*server) bool) []*server {
	return slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return !keep(s) })
}

// prefer returns the servers for which better is true, or the whole list if there is none.
func prefer(list []*server, better func(*server) bool) []*server {
	if preferred := filter(list, better); len(preferred) > 0 {
		return preferred
	}
	return list
}
