package upstream

import (
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/metrics"
)

// ResultSink receives results and runs timers. Its methods are called concurrently.
type ResultSink interface {
	// Now is the time since the program's start.
	Now() time.Duration
	// Arm calls fire once Now reaches at, unless disarm is called before.
	Arm(at time.Duration, fire func()) (disarm func())
	// AttemptEnded is called at most once for an attempt, and not after a Cancel that found it in flight.
	AttemptEnded(coordinator.AttemptID, coordinator.Result)
	// HealthCheckEnded is called at most once for a health check, also where it was abandoned.
	HealthCheckEnded(number uint64, r coordinator.Result)
	// BodySent says that the attempt's body need not be read again for this attempt: it is written, or in memory.
	BodySent(coordinator.AttemptID)
}

// Config is what the clients of all servers have in common.
type Config struct {
	Sink           ResultSink
	Counters       *metrics.Counters
	Totals         *metrics.Totals
	ConnectTimeout time.Duration // of a dial, and of each write
	Keepalive      time.Duration // after which servers close an idle connection; 0: they do not
	ConnLimiter    *ConnLimiter  // nil: connections are not limited
}
