package routing

import "time"

// idleBeforeExclusion is how long an unhealthy server must get no part before it is reported as excluded: a
// server on probation gets a part now and then.
const idleBeforeExclusion = time.Second

// ServerSnapshot is a copy of the router's state of one listed server, for display only: no decision depends
// on it.
type ServerSnapshot struct {
	Server             ServerID
	State              EndpointState
	InFlight           int           // this coordinator's attempts in flight
	MedianLatency      time.Duration // of this coordinator's recent successful attempts; 0: none
	Health             []float64     // by class; 1 is healthy, 0 failing
	FailedHealthChecks int           // consecutive
	WarmingUp          bool
	Unreachable        bool          // in backoff after a failed connect
	Backoff            time.Duration // remaining backoff after an overload or a failed connect; 0: none
	SinceLastSend      time.Duration // time since the last attempt was sent; since time 0 if none was
}

// Snapshot returns a snapshot of each listed server, sorted by id. It moves the router's clock forward to
// now, never back.
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

// EndpointCounts returns the number of listed servers, and how many of them are excluded: draining,
// unreachable, or ejected for every class. A server that is in backoff after an overload is not excluded. It
// moves the router's clock forward to now, never back.
func (r *Router) EndpointCounts(now time.Duration) (known, excluded int) {
	r.now = max(r.now, now)
	return len(r.endpoints.listed), len(filter(r.endpoints.listed, func(s *server) bool {
		return s.endpoint.State != Ready || s.backoff.isUnreachable(r.now) || r.isEjected(s)
	}))
}

// isEjected reports whether a server is an outlier for every class, has no attempt in flight and was sent
// none within idleBeforeExclusion.
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

// SampleCount returns the number of samples and of steps of time that the router's windows hold, for display
// only.
func (r *Router) SampleCount() (count int) {
	counts := []*slidingCount{r.retries.arrivals, r.retries.furtherAttempts}
	counts = append(counts, r.admission.quotas.arrivals...)
	for _, c := range counts {
		count += c.steps.len()
	}
	windows := []*slidingWindow{
		r.admission.valuesPerWork, r.checks.replyTimes, r.results.load.serviceTimes, r.results.latencies.all,
		r.results.latencies.perUnitLoad,
	}
	windows = append(windows, r.results.latencies.byClass...)
	for _, s := range r.endpoints.servers {
		windows = append(windows, s.latency)
	}
	for _, w := range windows {
		count += w.samples.len() + w.dropped.steps.len()
	}
	return count
}
