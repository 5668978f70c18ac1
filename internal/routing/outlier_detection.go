package routing

import (
	"slices"
	"time"
)

const (
	healthSmoothingFactor = 0.4 // weight of one result in a server's health for its class
	otherClassesFactor    = 0.5 // share of that weight that a bad result has for other classes
	// Weight of a failed health check. It is low because one short pause of a server fails several of its
	// health checks.
	healthCheckSmoothingFactor = 0.1

	// Latency, in medians of its class, up to which a result has quality 1; at twice that latency it has 0.5.
	fullQualityLatencyFactor = 1

	ejectionHealthRatio  = 0.55 // a replica below this share of its shard's best health is ejected
	probationHealthRatio = 0.8  // below this share it gets one part at a time

	// Half-life of bad health, in mean times between two results of one server, and its bounds.
	healthHalfLifeIntervals = 4
	minHealthHalfLife       = 10 * time.Second
	maxHealthHalfLife       = time.Minute
)

// allClasses is passed instead of a class index if a result counts for all classes.
const allClasses = -1

// healthScores holds a server's moving averages of results, by class; 1 is healthy, 0 failing.
type healthScores struct {
	byClass []float64 // at the time at; bad health decays after it
	at      time.Duration
}

// outlierDetector scores the health of servers and ejects replicas that are much less healthy than the best
// of their shard.
type outlierDetector struct {
	latencies *latencyStats
	halfLife  float64 // half-life of bad health, in nanoseconds
}

func newOutlierDetector(latencies *latencyStats) *outlierDetector {
	return &outlierDetector{latencies: latencies, halfLife: float64(minHealthHalfLife)}
}

// updateHalfLife sets the half-life, given the mean time between two own samples of a server, in nanoseconds.
func (d *outlierDetector) updateHalfLife(sampleInterval float64) {
	halfLife := healthHalfLifeIntervals * sampleInterval
	d.halfLife = max(float64(minHealthHalfLife), min(float64(maxHealthHalfLife), halfLife))
}

// health returns a server's current health for a class, from 0 to 1. Bad health decays, so that an ejected
// server gets attempts again.
func (d *outlierDetector) health(now time.Duration, s *server, class int) float64 {
	return 1 - (1-s.health.byClass[class])*exp2(-float64(now-s.health.at)/d.halfLife)
}

// record moves a server's health for a class towards the quality of a result, from 0 to 1. step is the share
// of the distance. A bad result also lowers the health for the other classes, by otherClassesFactor of that.
func (d *outlierDetector) record(now time.Duration, s *server, class int, quality, step float64) {
	for c := range s.health.byClass {
		health := d.health(now, s, c)
		if c == class || class == allClasses {
			health += step * (quality - health)
		} else if quality < health {
			health += otherClassesFactor * step * (quality - health)
		}
		s.health.byClass[c] = health
	}
	s.health.at = now
}

// recordSuccess records a successful attempt with its latency in nanoseconds.
func (d *outlierDetector) recordSuccess(now time.Duration, s *server, class int, latency float64) {
	quality := min(1, fullQualityLatencyFactor*d.latencies.classMedian(now, class)/latency)
	d.record(now, s, class, quality, healthSmoothingFactor)
}

// recordFailure records an attempt that failed at the server.
func (d *outlierDetector) recordFailure(now time.Duration, s *server, class int) {
	d.record(now, s, class, 0, healthSmoothingFactor)
}

// recordOverdue records an overdue attempt as a failure. Further calls for the same attempt do nothing.
func (d *outlierDetector) recordOverdue(now time.Duration, a *attempt) {
	if a.overdue {
		return
	}
	a.overdue = true
	d.recordFailure(now, a.server, a.part.query.classIndex)
}

// recordFailedCheck records a failed health check, which counts for all classes.
func (d *outlierDetector) recordFailedCheck(now time.Duration, s *server) {
	s.checks.consecutiveFailures++
	d.record(now, s, allClasses, 0, healthCheckSmoothingFactor)
}

// bestHealth returns the best health of the servers for a class; 0 if there are none.
func (d *outlierDetector) bestHealth(now time.Duration, servers []*server, class int) (best float64) {
	for _, s := range servers {
		best = max(best, d.health(now, s, class))
	}
	return best
}

// isOutlier reports whether a server's health for a class is below ejectionHealthRatio of the best health.
func (d *outlierDetector) isOutlier(now time.Duration, s *server, class int, best float64) bool {
	return d.health(now, s, class) < ejectionHealthRatio*best
}

// eject removes outliers from a shard's replicas, and servers on probation that have an attempt in flight. It
// modifies the list in place. Servers are compared with the best of the list, so the best one stays, and a
// fault that affects all of them ejects none.
func (d *outlierDetector) eject(now time.Duration, replicas []*server, class int) []*server {
	best := d.bestHealth(now, replicas, class)
	return slices.DeleteFunc(replicas, func(s *server) bool {
		onProbation := s.inFlight.count > 0 && d.health(now, s, class) < probationHealthRatio*best
		return d.isOutlier(now, s, class, best) || onProbation
	})
}
