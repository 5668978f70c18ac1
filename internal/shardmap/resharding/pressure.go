package resharding

import "time"

// OverloadDetector tells whether the fleet is pressed, by the share of queries that were refused of
// those that ended. It turns on at once and off only after a quiet time, so that copies do
// not start and stop with every second.
type OverloadDetector struct {
	RejectionRatio float64       // refused of ended in a look, from which on the fleet is pressed
	RecoveryPeriod time.Duration // so long under it before it is not
	MinSamples     int64         // ended queries that a look must be about to tell

	ended, refused int64
	until          time.Duration
}

// Observe takes the counts since the start, and tells.
func (p *OverloadDetector) Observe(now time.Duration, ended, refused int64) bool {
	de, dr := ended-p.ended, refused-p.refused
	if de >= p.MinSamples {
		p.ended, p.refused = ended, refused
		if float64(dr) >= p.RejectionRatio*float64(de) && dr > 0 {
			p.until = now + p.RecoveryPeriod
		}
	}
	return now < p.until
}
