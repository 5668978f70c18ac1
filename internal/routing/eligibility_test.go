package routing

import "testing"

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
