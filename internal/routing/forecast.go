package routing

import (
	"math"
	"time"
)

// Age of the attempts in flight at a server over the latency they will have, in steady state.
const latencyOverAge = 2

// forecaster forecasts how long the parts of a query would take now.
type forecaster struct {
	endpoints   *endpointList
	latencies   *latencyStats
	load        *loadEstimator
	eligibility eligibility

	// Parts waiting to be placed, of the queries looked at so far in this turn: a burst that is not in flight
	// yet.
	waitingParts int
}

func newForecaster(endpoints *endpointList, results *resultRecorder, eligible eligibility) *forecaster {
	return &forecaster{
		endpoints: endpoints, latencies: results.latencies, load: results.load, eligibility: eligible,
	}
}

// forecast is the latency of a query's parts as forecast, in nanoseconds.
type forecast struct {
	mean  float64
	worst float64
	slow  []*server // replicas of the shards that take longer than the limit given
}

// query forecasts the latency of a query's parts. A part whose shard has no replica has an infinite forecast,
// which does not count in the mean.
func (f *forecaster) query(now time.Duration, q *query, slowLimit float64) forecast {
	perUnitLoad := f.latencies.perUnitLoad.median(now, f.latencies.classMedian(now, q.classIndex))
	waiting := float64(f.waitingParts) / float64(max(1, len(f.endpoints.listed)))
	var result forecast
	for _, p := range q.parts {
		replicas := f.reachableReplicas(now, p.shard)
		latency := math.Inf(1)
		if len(replicas) > 0 {
			latency = f.shard(now, replicas, perUnitLoad, waiting)
			result.mean += latency / float64(len(q.parts))
		}
		result.worst = max(result.worst, latency)
		if latency > slowLimit {
			result.slow = append(result.slow, replicas...)
		}
	}
	return result
}

// shard forecasts the latency of a part at a shard: the harmonic mean over its replicas, as they share its
// parts by how soon each is done.
func (f *forecaster) shard(now time.Duration, replicas []*server, perUnitLoad, waiting float64) float64 {
	rate := 0.0
	for _, s := range replicas {
		backoff := float64(s.backoff.remaining(now))
		rate += 1 / (backoff + f.server(now, s, perUnitLoad, waiting))
	}
	return float64(len(replicas)) / rate
}

// server forecasts the latency of a part at a server: its load times what a unit of load took lately, or what
// the age of the attempts in flight there tells, as reports may be late or wrong.
func (f *forecaster) server(now time.Duration, s *server, perUnitLoad, waiting float64) float64 {
	byLoad := perUnitLoad * (f.load.load(now, s) + waiting)
	return max(byLoad, latencyOverAge*s.inFlight.meanAge(now))
}

// reachableReplicas lists the replicas of a shard that may take a part soon, without those that answer no
// health checks if there are others.
func (f *forecaster) reachableReplicas(now time.Duration, shard int) []*server {
	eligible := filter(f.endpoints.replicasOf(shard), func(s *server) bool {
		return f.eligibility.mayGetAttemptSoon(now, s)
	})
	return prefer(eligible, func(s *server) bool { return s.checks.isReachable() })
}
