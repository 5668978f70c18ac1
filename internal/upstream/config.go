package upstream

import (
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
)

// ResultSink receives the results of attempts and health checks, and provides the clock and timers. Its methods are
// called concurrently.
type ResultSink interface {
	// Now returns the time since the program started.
	Now() time.Duration
	// Arm starts a timer that calls fire once Now reaches at, unless disarm is called before.
	Arm(at time.Duration, fire func()) (disarm func())
	// AttemptEnded is called at most once for an attempt, and not after a Cancel that found it in flight.
	AttemptEnded(coordinator.AttemptID, coordinator.Result)
	// HealthCheckEnded is called at most once for a health check, even if it was abandoned.
	HealthCheckEnded(number uint64, r coordinator.Result)
	// BodySent reports that this attempt does not need to read its body again: the body is written, or in memory.
	BodySent(coordinator.AttemptID)
}

// Config holds the settings and dependencies that the clients of all servers share.
type Config struct {
	Sink              ResultSink
	Counters          *metrics.Counters
	Totals            *metrics.Totals
	ConnectTimeout    time.Duration // limit for a dial, and for each write
	ServerIdleTimeout time.Duration // time after which servers close an idle connection; 0: they never do
	ConnLimiter       *ConnLimiter  // nil: the number of connections is not limited
}
