package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// Share of Settings.WarmupOverloadFactor that the coordinators together may use of a server that warms
	// up.
	warmupLoadShare = 0.7

	// Share of Settings.WarmupDuration after which a server's report of its own speed is believed in part: by
	// then it has had time to measure it.
	trustedWarmupShare = 1.0 / 3
)

// slowStartState is how far a server that warms up has been used.
type slowStartState struct {
	gapStartedAt time.Duration // when the gap to the next attempt began
}

// slowStart spaces the attempts at servers that have just started: when every coordinator keeps the gap, all
// together stay under the load at which such a server fails.
type slowStart struct {
	settings  *Settings
	random    *rand.Rand
	load      *loadEstimator
	latencies *latencyStats
	warmRate  float64 // parts a nanosecond that a warm server could take of this coordinator
}

func newSlowStart(settings *Settings, random *rand.Rand, results *resultRecorder) *slowStart {
	return &slowStart{settings: settings, random: random, load: results.load, latencies: results.latencies}
}

// update estimates the warm rate: what the mean server answered lately, set against its utilization, and at
// least one part at a time, shared among the coordinators.
func (r *slowStart) update(now time.Duration, servers []*server) {
	utilization := 0.0
	for _, s := range servers {
		if s.endpoint.State == Ready {
			utilization += r.load.utilization(now, s)
		}
	}
	answered := float64(r.latencies.all.count(now)) / float64(statsWindow)
	onePartAtATime := 1 / (r.latencies.overallMedian(now) * float64(r.settings.Coordinators))
	r.warmRate = max(onePartAtATime, answered/max(1, utilization))
}

// begin starts a new incarnation of a server at a random point of its first gap, which keeps the coordinators
// from sending in step.
func (r *slowStart) begin(now time.Duration, s *server) {
	elapsed := r.random.Float64()
	if r.isWarmingUp(now, s) {
		s.slowStart.gapStartedAt = now - time.Duration(elapsed*r.gap(now, s, 1))
	}
}

// isWarmingUp tells whether a server may still have less than its full capacity. One that started long ago
// has a StartedAt of 0.
func (r *slowStart) isWarmingUp(now time.Duration, s *server) bool {
	return s.endpoint.StartedAt > 0 && now < s.endpoint.StartedAt+r.settings.WarmupDuration
}

// gap is the time, in nanoseconds, between two parts of this coordinator at a server that warms up, for a
// part of the given work relative to the median part. It follows the server's capacity, which rises evenly.
func (r *slowStart) gap(now time.Duration, s *server, relativeWork float64) float64 {
	age := float64(now-s.endpoint.StartedAt) / float64(r.settings.WarmupDuration)
	initial := r.settings.WarmupInitialShare
	capacity := initial + (1-initial)*max(0, age)
	if serviceTime := r.load.relativeServiceTime(now, s); age > trustedWarmupShare && serviceTime > 1 {
		capacity = max(capacity, (capacity+1/serviceTime)/2)
	}
	return relativeWork / (warmupLoadShare * capacity * r.settings.WarmupOverloadFactor * r.warmRate)
}

// allows tells whether a server may be sent a part now: it is warm, or the gap is over.
func (r *slowStart) allows(now time.Duration, s *server) bool {
	if !r.isWarmingUp(now, s) {
		return true
	}
	return now >= s.slowStart.gapStartedAt+time.Duration(r.gap(now, s, 1))
}

// sent begins the next gap after a part of a class. A part that went out late shortens it, by one gap at
// most.
func (r *slowStart) sent(now time.Duration, s *server, class int) {
	if !r.isWarmingUp(now, s) {
		return
	}
	gap := time.Duration(r.gap(now, s, r.latencies.relativeWork(now, class)))
	s.slowStart.gapStartedAt = max(s.slowStart.gapStartedAt+gap, now-gap)
}
