package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// Share of Settings.WarmupOverloadFactor up to which all coordinators together may load a server that is
	// warming up.
	warmupLoadShare = 0.7

	// Share of Settings.WarmupDuration after which a server's reported service time is taken into account, at
	// half weight: by then the server has had time to measure it.
	trustedWarmupShare = 1.0 / 3
)

// slowStartState is the slow-start state of one server.
type slowStartState struct {
	gapStartedAt time.Duration // when the gap to the next attempt began
}

// slowStart keeps a minimum gap between attempts at a server that has just started. If every coordinator
// keeps the gap, all of them together stay below the load at which such a server fails.
type slowStart struct {
	settings  *Settings
	random    *rand.Rand
	load      *loadEstimator
	latencies *latencyStats
	warmRate  float64 // parts per nanosecond that a warm server could take from this coordinator
}

func newSlowStart(settings *Settings, random *rand.Rand, results *resultRecorder) *slowStart {
	return &slowStart{settings: settings, random: random, load: results.load, latencies: results.latencies}
}

// updateWarmRate estimates the warm rate: the recent rate of answers, divided by the sum of the ready
// servers' utilizations (at least 1). Its lower bound is one part per median latency, divided by the
// number of coordinators: the rate of a server that processes one part at a time, shared among them.
func (r *slowStart) updateWarmRate(now time.Duration, servers []*server) {
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

// startFirstGap starts the slow start of a new incarnation of a server, at a random point of the first gap.
// The random point prevents the coordinators from sending at the same times.
func (r *slowStart) startFirstGap(now time.Duration, s *server) {
	elapsed := r.random.Float64()
	if r.isWarmingUp(now, s) {
		s.slowStart.gapStartedAt = now - time.Duration(elapsed*r.gap(now, s, 1))
	}
}

// isWarmingUp reports whether a server may still have less than its full capacity. A server that started long
// ago has a StartedAt of 0.
func (r *slowStart) isWarmingUp(now time.Duration, s *server) bool {
	return s.endpoint.StartedAt > 0 && now < s.endpoint.StartedAt+r.settings.WarmupDuration
}

// gap returns the time, in nanoseconds, that this coordinator waits after sending a part to a server that is
// warming up. relativeWork is the work of that part relative to the median part. The gap is inversely
// proportional to the server's capacity, which is assumed to rise linearly with its age.
func (r *slowStart) gap(now time.Duration, s *server, relativeWork float64) float64 {
	age := float64(now-s.endpoint.StartedAt) / float64(r.settings.WarmupDuration)
	initial := r.settings.WarmupInitialShare
	capacity := initial + (1-initial)*max(0, age)
	if serviceTime := r.load.relativeServiceTime(now, s); age > trustedWarmupShare && serviceTime > 1 {
		capacity = max(capacity, (capacity+1/serviceTime)/2)
	}
	return relativeWork / (warmupLoadShare * capacity * r.settings.WarmupOverloadFactor * r.warmRate)
}

// allows reports whether a server may be sent a part now: it is warm, or the current gap is over.
func (r *slowStart) allows(now time.Duration, s *server) bool {
	if !r.isWarmingUp(now, s) {
		return true
	}
	return now >= s.slowStart.gapStartedAt+time.Duration(r.gap(now, s, 1))
}

// startNextGap starts the next gap after a part of a class was sent. If the part was sent later than its gap
// allowed, the next gap is shortened by the delay, by one gap at most.
func (r *slowStart) startNextGap(now time.Duration, s *server, class int) {
	if !r.isWarmingUp(now, s) {
		return
	}
	gap := time.Duration(r.gap(now, s, r.latencies.relativeWork(now, class)))
	s.slowStart.gapStartedAt = max(s.slowStart.gapStartedAt+gap, now-gap)
}
