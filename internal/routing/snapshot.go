package routing

import "time"

// idleBeforeExclusion is how long an unhealthy server has to be without a part before it is shown as
// excluded: one on probation gets a part now and then.
const idleBeforeExclusion = time.Second

// ServerSnapshot is what the router knows of one listed server, to be shown. Nothing is decided by it.
type ServerSnapshot struct {
	Server             ServerID
	State              EndpointState
	InFlight           int           // this coordinator's attempts in flight
	MedianLatency      time.Duration // of this coordinator's parts lately; 0: none
	Health             []float64     // by class; 1 is healthy, 0 failing
	FailedHealthChecks int           // in a row
	WarmingUp          bool
	Unreachable        bool          // in backoff after an attempt that could not be delivered
	Backoff            time.Duration // remaining time without attempts, after an overload or a failed connect
	SinceLastSend      time.Duration
}

// Snapshot lists what is known of the listed servers, by id.
func (r *Router) Snapshot(now time.Duration) (snapshots []ServerSnapshot) {
	r.now = max(r.now, now)
	for _, s := range r.endpoints.listed {
		snapshot := ServerSnapshot{
			Server:             s.id,
			State:              s.endpoint.State,
			InFlight:           s.inFlight.count,
			MedianLatency:      time.Duration(s.latency.median(r.now, 0)),
			FailedHealthChecks: s.checks.consecutiveFailures,
			WarmingUp:          r.slowStart.isWarmingUp(r.now, s),
			Unreachable:        s.backoff.isUnreachable(r.now),
			Backoff:            s.backoff.remaining(r.now),
			SinceLastSend:      r.now - s.inFlight.lastSentAt,
		}
		for class := range s.health.byClass {
			snapshot.Health = append(snapshot.Health, r.results.outliers.health(r.now, s, class))
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

// EndpointCounts counts the listed servers and those of them that are excluded: draining, unreachable, or
// ejected for every class. A server that is only overloaded for the moment is not excluded.
func (r *Router) EndpointCounts(now time.Duration) (known, excluded int) {
	r.now = max(r.now, now)
	return len(r.endpoints.listed), len(filter(r.endpoints.listed, func(s *server) bool {
		return s.endpoint.State != Ready || s.backoff.isUnreachable(r.now) || r.isEjected(s)
	}))
}

// isEjected tells whether a server is an outlier for every class and has had no part lately.
func (r *Router) isEjected(s *server) bool {
	if s.inFlight.count > 0 || r.now < s.inFlight.lastSentAt+idleBeforeExclusion {
		return false
	}
	shard := s.endpoint.Cell % r.settings.Shards // one that its cell holds
	replicas := r.endpoints.replicasOf(shard)
	outliers := r.results.outliers
	for class := range s.health.byClass {
		if !outliers.isOutlier(r.now, s, class, outliers.bestHealth(r.now, replicas, class)) {
			return false
		}
	}
	return true
}
