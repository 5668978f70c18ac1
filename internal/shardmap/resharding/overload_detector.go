package resharding

import "time"

// OverloadDetector detects overload of the fleet by the share of ended queries that were rejected. It reports
// overload at once, but recovery only after RecoveryPeriod without overload, so that copies do not start and stop
// every second. It is not safe for concurrent use.
type OverloadDetector struct {
	RejectionRatio float64       // rejected to ended queries of a sample; at or above it the fleet is overloaded
	RecoveryPeriod time.Duration // how long the ratio must stay below RejectionRatio for recovery
	MinSamples     int64         // minimum number of ended queries in a sample

	ended, rejected int64         // counts at the end of the last sample
	overloadedUntil time.Duration // on the clock of Observe
}

// Observe takes the numbers of ended and rejected queries since the start of the process and reports whether the
// fleet is overloaded. A sample that is too small is extended by the next call.
func (d *OverloadDetector) Observe(now time.Duration, ended, rejected int64) bool {
	newEnded := ended - d.ended
	newRejected := rejected - d.rejected
	if newEnded >= d.MinSamples {
		d.ended, d.rejected = ended, rejected
		if newRejected > 0 && float64(newRejected) >= d.RejectionRatio*float64(newEnded) {
			d.overloadedUntil = now + d.RecoveryPeriod
		}
	}
	return now < d.overloadedUntil
}
