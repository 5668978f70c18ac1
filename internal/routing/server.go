package routing

import (
	"slices"
	"time"
)

// server holds the router's state for one server. Each of its rules (latency, health, backoff, ...) has a
// field of its own.
type server struct {
	id       ServerID
	endpoint Endpoint
	listed   bool

	inFlight  inFlightAttempts
	latency   *slidingWindow // of this coordinator's successful attempts, in nanoseconds
	report    loadReport
	health    healthScores
	checks    healthCheckState
	backoff   overloadBackoff
	slowStart slowStartState
}

// resetForRestart clears the state of the server's previous incarnation, except a backoff in force.
func (s *server) resetForRestart(e Endpoint, classes int) {
	s.endpoint = e
	s.health.byClass = slices.Repeat([]float64{1}, classes)
	s.checks.consecutiveFailures = 0
	s.report.values = nil
	s.latency = newSlidingWindow(statsWindow)
}

// inFlightAttempts counts this coordinator's attempts in flight at a server. A canceled attempt counts until
// its result is received.
type inFlightAttempts struct {
	count      int
	sumSentAt  time.Duration // sum of the send times of the attempts in flight
	lastSentAt time.Duration
}

// sent counts an attempt that is sent now.
func (f *inFlightAttempts) sent(now time.Duration) {
	f.count++
	f.sumSentAt += now
	f.lastSentAt = now
}

// ended removes an attempt from the count; sentAt is when it was sent.
func (f *inFlightAttempts) ended(sentAt time.Duration) {
	f.count--
	f.sumSentAt -= sentAt
}

// meanAge returns the mean age of the attempts in flight, in nanoseconds. One additional attempt of age 0 is
// included, because the mean of a few attempts says little.
func (f *inFlightAttempts) meanAge(now time.Duration) float64 {
	return float64(time.Duration(f.count)*now-f.sumSentAt) / float64(f.count+1)
}

// filter returns a new list of the servers for which keep is true.
func filter(list []*server, keep func(*server) bool) []*server {
	return slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return !keep(s) })
}

// filterOrAll returns the servers for which keep is true, or the whole list if there is none.
func filterOrAll(list []*server, keep func(*server) bool) []*server {
	if preferred := filter(list, keep); len(preferred) > 0 {
		return preferred
	}
	return list
}
