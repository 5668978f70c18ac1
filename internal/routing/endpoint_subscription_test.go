package routing

import (
	"testing"
	"time"
)

func TestSubscribeRetriesAfterFailure(t *testing.T) {
	settings := testSettings()
	settings.SubscribesToEndpoints = true
	h := newHarness(t, settings)
	wantActions[Subscribe](t, h.actions, 1)
	wantActions[Subscribe](t, h.advance(5*ms, EndpointUpdate{Mode: UpdateFailed}), 0)
	wantActions[Subscribe](t, h.advance(time.Second), 1)
	wantActions[Subscribe](t, h.advance(time.Second, EndpointUpdate{Mode: UpdateDelta}), 0)
	wantActions[Subscribe](t, h.advance(time.Minute), 0)
}
