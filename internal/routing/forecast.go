package routing

import (
	"math"
	"time"
)

// Ratio of the final latency of the attempts in flight at a server to their current age, in steady state.
const latencyToAgeRatio = 2

// forecaster forecasts the latency of the parts of a query if they were sent now.
type forecaster struct {
	endpoints   *endpointList
	latencies   *latencyStats
	load        *loadEstimator
	eligibility eligibility

	// Parts that wait for a replica, over the queries processed so far in this turn. They are load that is
	// not in flight yet, such as a burst of queries within one turn.
	waitingParts int
}

func newForecaster(endpoints *endpointList, results *resultRecorder, eligible eligibility) *forecaster {
	return &forecaster{
		endpoints: endpoints, latencies: results.latencies, load: results.load, eligibility: eligible,
	}
}

// forecast is the forecast latency of a query's parts, in nanoseconds.
type forecast struct {
	mean  float64
	worst float64
	slow  []*server // replicas of the shards whose forecast exceeds slowLimit
}

// query forecasts the latency of a query's parts. A part whose shard has no eligible replica has an infinite
// forecast. Such a part adds nothing to the mean, but the mean still divides by the number of all parts.
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

// shard forecasts the latency of a part at a shard: the harmonic mean over its replicas, because each replica
// takes a share of the parts in proportion to its speed.
func (f *forecaster) shard(now time.Duration, replicas []*server, perUnitLoad, waiting float64) float64 {
	rate := 0.0
	for _, s := range replicas {
		backoff := float64(s.backoff.remaining(now))
		rate += 1 / (backoff + f.server(now, s, perUnitLoad, waiting))
	}
	return float64(len(replicas)) / rate
}

// server forecasts the latency of a part at a server, in nanoseconds: the server's load times the recent
// latency per unit of load. The age of the attempts in flight sets a lower bound, as load reports may be late
// or wrong.
func (f *forecaster) server(now time.Duration, s *server, perUnitLoad, waiting float64) float64 {
	byLoad := perUnitLoad * (f.load.load(now, s) + waiting)
	return max(byLoad, latencyToAgeRatio*s.inFlight.meanAge(now))
}

// reachableReplicas returns the replicas of a shard that may get an attempt soon. Replicas that fail their
// health checks are left out unless all of them do.
func (f *forecaster) reachableReplicas(now time.Duration, shard int) []*server {
	eligible := filter(f.endpoints.replicasOf(shard), func(s *server) bool {
		return f.eligibility.mayGetAttemptAfterBackoff(now, s)
	})
	return filterOrAll(eligible, func(s *server) bool { return s.checks.isReachable() })
}
