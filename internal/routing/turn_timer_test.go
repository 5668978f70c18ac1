package routing

import (
	"testing"
	"time"
)

func TestTurnTimerSet(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		pending time.Duration // clock time at which the previous timer fires; 0: no previous timer
		at      time.Duration
		after   time.Duration // SetTimer.After; 0: no action wanted
	}{
		"no timer":                 {0, now + 5*ms, 5 * ms},
		"timer has fired":          {now, now + 5*ms, 5 * ms},
		"earlier timer is pending": {now + 4*ms, now + 5*ms, 0},
		"same timer is pending":    {now + 5*ms, now + 5*ms, 0},
		"later timer is pending":   {now + 6*ms, now + 5*ms, 5 * ms},
		"now":                      {0, now, minTimerDelay},
		"in the past":              {0, now - time.Second, minTimerDelay},
	} {
		t.Run(name, func(t *testing.T) {
			timer := turnTimer{firesAt: c.pending, token: 7}
			actions := &actionList{}
			timer.set(now, c.at, actions)
			if c.after == 0 {
				wantActions[SetTimer](t, actions.list, 0)
				return
			}
			got := wantActions[SetTimer](t, actions.list, 1)[0]
			if want := (SetTimer{After: c.after, Token: 8}); got != want {
				t.Errorf("action = %+v, want %+v", got, want)
			}
		})
	}
}
