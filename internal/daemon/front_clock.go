package daemon

import (
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
)

// frontClock is the clock of the HTTP servers. It has the time of the core, but timers of its own: a deadline of a
// client's connection does not wake the core's event loop.
type frontClock struct{ core *coordinator.Core }

var _ http1.Clock = frontClock{}

// Now returns the time on the core's clock.
func (c frontClock) Now() time.Duration { return c.core.Now() }

// Arm calls fire, on a goroutine of its own, at the given time.
func (c frontClock) Arm(at time.Duration, fire func()) (disarm func()) {
	timer := time.AfterFunc(at-c.core.Now(), fire)
	return func() { timer.Stop() }
}
