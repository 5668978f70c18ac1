package routing

import (
	"testing"
	"time"
)

func TestDrainingServerGetsNoAttemptAfterItsReply(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	h.advance(10*ms, checkReply(1, 0))
	drain := EndpointUpdate{Endpoints: []Endpoint{{Server: 1, Cell: 0, State: Draining}}}
	h.advance(5*ms, drain, checkReply(2, 9))
	if sends := wantActions[Send](t, h.actions, 1); sends[0].Server != 2 {
		t.Errorf("sent to %d, want 2: 1 is draining", sends[0].Server)
	}
}

const eligibilityNow = time.Minute

var eligibilityCases = map[string]struct {
	change func(*server)
	now    bool // want mayGetAttempt
	soon   bool // want mayGetAttemptAfterBackoff
}{
	"ready":      {func(*server) {}, true, true},
	"draining":   {func(s *server) { s.endpoint.State = Draining }, false, false},
	"not listed": {func(s *server) { s.listed = false }, false, false},
	"overloaded": {func(s *server) { s.backoff.until = eligibilityNow + 1 }, false, true},
	"unreachable": {
		func(s *server) { s.backoff = overloadBackoff{until: eligibilityNow + 1, unreachable: true} },
		false, false,
	},
	"backoff is over": {
		func(s *server) { s.backoff = overloadBackoff{until: eligibilityNow, unreachable: true} },
		true, true,
	},
	"in slow-start gap": {
		func(s *server) {
			s.endpoint.StartedAt = eligibilityNow
			s.slowStart.gapStartedAt = eligibilityNow
		},
		false, false,
	},
	"slow-start gap is over": {func(s *server) { s.endpoint.StartedAt = eligibilityNow }, true, true},
}

func TestEligibility(t *testing.T) {
	for name, c := range eligibilityCases {
		t.Run(name, func(t *testing.T) {
			rule, s := newTestSlowStart(eligibilityNow)
			s.endpoint.StartedAt = 0
			c.change(s)
			eligible := eligibility{slowStart: rule}
			if got := eligible.mayGetAttempt(eligibilityNow, s); got != c.now {
				t.Errorf("mayGetAttempt = %v, want %v", got, c.now)
			}
			if got := eligible.mayGetAttemptAfterBackoff(eligibilityNow, s); got != c.soon {
				t.Errorf("mayGetAttemptAfterBackoff = %v, want %v", got, c.soon)
			}
		})
	}
}
