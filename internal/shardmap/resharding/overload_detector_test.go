package resharding

import (
	"testing"
	"time"
)

func TestOverloadDetectorRecoveryPeriod(t *testing.T) {
	detector := OverloadDetector{RejectionRatio: 0.05, RecoveryPeriod: 5 * time.Second, MinSamples: 10}
	for i, sample := range []struct {
		name            string
		ended, rejected int64
		overloaded      bool
	}{
		{"no rejection", 100, 0, false},
		{"below the ratio", 200, 4, false},
		{"above the ratio", 300, 20, true},
		{"too few samples", 305, 20, true},
		{"in the recovery period", 400, 20, true},
		{"after the recovery period", 900, 20, false},
	} {
		t.Run(sample.name, func(t *testing.T) {
			now := time.Duration(2*i) * time.Second
			if got := detector.Observe(now, sample.ended, sample.rejected); got != sample.overloaded {
				t.Errorf("overloaded = %v, want %v", got, sample.overloaded)
			}
		})
	}
}
