package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestHealthChecksAreSharedByPartsOfOneTurn(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0, 1, 2)
	if checks := wantActions[HealthCheck](t, h.actions, 3); checks[0].Server == checks[1].Server {
		t.Errorf("health checks = %v, want one a server", checks)
	}
}

func TestRaceStaysOpenUntilMultipleOfFirstReply(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	wantActions[Send](t, h.advance(20*ms, checkReply(1, 5)), 0) // open until 30 ms
	wantActions[Send](t, h.advance(5*ms, checkReply(2, 0)), 0)
	if sends := wantActions[Send](t, h.advance(5*ms), 1); sends[0].Server != 2 {
		t.Errorf("sent to %d, want 2, which has the least load", sends[0].Server)
	}
}

func TestRaceIsWonByTheOnlyReply(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	h.advance(20*ms, checkReply(1, 5))
	if sends := wantActions[Send](t, h.advance(10*ms), 1); sends[0].Server != 1 {
		t.Errorf("sent to %d, want 1, the only one that replied", sends[0].Server)
	}
}

// Guards against more health checks a server with more coordinators, and against counting a reply's validity
// from its arrival.
func TestReplyValidityScalesWithCoordinators(t *testing.T) {
	for _, coordinators := range []int{1, 40} {
		t.Run(fmt.Sprintf("coordinators=%d", coordinators), func(t *testing.T) {
			settings := testSettings()
			settings.Coordinators = coordinators
			h := newHarness(t, settings)
			h.keepsReplies = true
			h.startQuery(10, 0, 0)
			wantActions[HealthCheck](t, h.actions, 3)
			h.advance(5*ms, checkReply(1, 3), checkReply(2, 0)) // server 3 does not reply
			h.advance(5 * ms)
			h.turn(ClientDisconnected{ID: 10})
			h.now += replyValidityPerCoordinator*time.Duration(coordinators) - 11*ms
			h.startQuery(20, 0, 0)
			if sends := wantActions[Send](t, h.actions, 1); sends[0].Server != 2 {
				t.Errorf("sent to %d, want 2", sends[0].Server)
			}
			wantActions[HealthCheck](t, h.actions, 0) // server 3 was checked within that time
			h.advance(ms)
			h.startQuery(30, 0, 0)
			wantActions[Send](t, h.actions, 0)
			wantActions[HealthCheck](t, h.actions, 3)
		})
	}
}
