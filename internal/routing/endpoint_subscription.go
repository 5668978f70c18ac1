package routing

import (
	"math/rand/v2"
	"time"
)

// Bounds of the backoff after a failed call to discovery.
const (
	initialSubscribeBackoff = 500 * time.Millisecond
	maxSubscribeBackoff     = 8 * time.Second
)

// Jitter of that backoff: a factor from 0.5 to 1.5. It keeps coordinators that restart together from
// subscribing at the same time.
const (
	minBackoffJitter   = 0.5
	backoffJitterRange = 1.0
)

// endpointSubscription decides when to subscribe to the endpoint list. It takes effect in the simulator
// only: the program's discovery watcher manages its own subscription.
type endpointSubscription struct {
	random  *rand.Rand
	enabled bool
	active  bool          // subscribed, or a call is in progress
	retryAt time.Duration // clock time before which no call is made
	backoff time.Duration // wait after the next failure, before jitter
}

func newEndpointSubscription(settings *Settings, random *rand.Rand) endpointSubscription {
	return endpointSubscription{
		random: random, enabled: settings.SubscribesToEndpoints, backoff: initialSubscribeBackoff,
	}
}

// failed schedules the next call after a failed call or a broken subscription.
func (e *endpointSubscription) failed(now time.Duration) {
	e.active = false
	jitter := minBackoffJitter + backoffJitterRange*e.random.Float64()
	e.retryAt = now + time.Duration(jitter*float64(e.backoff))
	e.backoff = min(2*e.backoff, maxSubscribeBackoff)
}

// succeeded resets the backoff.
func (e *endpointSubscription) succeeded() { e.backoff = initialSubscribeBackoff }

// start reports whether to subscribe now. If so, it marks the subscription as active.
func (e *endpointSubscription) start(now time.Duration) bool {
	if !e.enabled || e.active || now < e.retryAt {
		return false
	}
	e.active = true
	return true
}

// next returns the clock time of the next call. pending is false if no call has to be made.
func (e *endpointSubscription) next() (at time.Duration, pending bool) {
	return e.retryAt, e.enabled && !e.active
}
