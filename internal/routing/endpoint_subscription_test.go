package routing

import (
	"math/rand/v2"
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

func newTestSubscription(seed uint64) endpointSubscription {
	settings := testSettings()
	settings.SubscribesToEndpoints = true
	return newEndpointSubscription(&settings, rand.New(rand.NewPCG(seed, 0)))
}

func TestEndpointSubscriptionBackoffDoublesUpToItsLimit(t *testing.T) {
	const now = time.Minute
	for seed := range uint64(20) {
		subscription := newTestSubscription(seed)
		backoff := initialSubscribeBackoff
		for i := range 8 {
			subscription.failed(now)
			shortest := time.Duration(minBackoffJitter * float64(backoff))
			longest := time.Duration((minBackoffJitter + backoffJitterRange) * float64(backoff))
			if wait := subscription.retryAt - now; wait < shortest || wait > longest {
				t.Errorf("failure %d: wait before next call = %v, want %v to %v", i, wait, shortest, longest)
			}
			backoff = min(2*backoff, maxSubscribeBackoff)
		}
	}
}

func TestEndpointSubscriptionBackoffHasJitter(t *testing.T) {
	times := map[time.Duration]bool{}
	for seed := range uint64(20) {
		subscription := newTestSubscription(seed)
		subscription.failed(time.Minute)
		times[subscription.retryAt] = true
	}
	if len(times) < 2 {
		t.Error("all coordinators call at the same time, want times that differ by seed")
	}
}

func TestEndpointSubscriptionSucceededResetsBackoff(t *testing.T) {
	subscription := newTestSubscription(1)
	for range 5 {
		subscription.failed(time.Minute)
	}
	subscription.succeeded()
	subscription.failed(time.Minute)
	longest := time.Duration((minBackoffJitter + backoffJitterRange) * float64(initialSubscribeBackoff))
	if wait := subscription.retryAt - time.Minute; wait > longest {
		t.Errorf("wait before next call = %v, want at most %v", wait, longest)
	}
}

func TestEndpointSubscriptionStart(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		subscription endpointSubscription
		start        bool
		pending      bool // before the start
	}{
		"due":         {endpointSubscription{enabled: true, retryAt: now}, true, true},
		"in backoff":  {endpointSubscription{enabled: true, retryAt: now + 1}, false, true},
		"active":      {endpointSubscription{enabled: true, active: true}, false, false},
		"not enabled": {endpointSubscription{}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			subscription := c.subscription
			if at, pending := subscription.next(); pending != c.pending || at != c.subscription.retryAt {
				t.Errorf("next = %v, %v; want %v, %v", at, pending, c.subscription.retryAt, c.pending)
			}
			if got := subscription.start(now); got != c.start {
				t.Errorf("start = %v, want %v", got, c.start)
			}
			if subscription.start(now) {
				t.Error("second start = true, want false")
			}
		})
	}
}
