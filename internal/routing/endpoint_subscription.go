package routing

import (
	"math/rand/v2"
	"time"
)

// Bounds of the backoff between calls to discovery that fail.
const (
	initialSubscribeBackoff = 500 * time.Millisecond
	maxSubscribeBackoff     = 8 * time.Second
)

// Jitter of that backoff: a share of it, from 0.5 to 1.5. It keeps coordinators that restart together from
// subscribing in step.
const (
	minBackoffJitter   = 0.5
	backoffJitterRange = 1.0
)

// endpointSubscription decides when to subscribe to the endpoint list. It matters in the simulator; the
// program's watch of discovery keeps its own subscription.
type endpointSubscription struct {
	random  *rand.Rand
	enabled bool
	active  bool // subscribed, or a call is out
	retryAt time.Duration
	backoff time.Duration
}

func newEndpointSubscription(settings *Settings, random *rand.Rand) endpointSubscription {
	return endpointSubscription{
		random: random, enabled: settings.SubscribesToEndpoints, backoff: initialSubscribeBackoff,
	}
}

// failed schedules the next call after one that failed, or after the subscription broke.
func (e *endpointSubscription) failed(now time.Duration) {
	e.active = false
	jitter := minBackoffJitter + backoffJitterRange*e.random.Float64()
	e.retryAt = now + time.Duration(jitter*float64(e.backoff))
	e.backoff = min(2*e.backoff, maxSubscribeBackoff)
}

// succeeded resets the backoff.
func (e *endpointSubscription) succeeded() { e.backoff = initialSubscribeBackoff }

// start tells whether to subscribe now, and counts that as done.
func (e *endpointSubscription) start(now time.Duration) bool {
	if !e.enabled || e.active || now < e.retryAt {
		return false
	}
	e.active = true
	return true
}

// next is the time of the next call, if one has to be made.
func (e *endpointSubscription) next() (at time.Duration, pending bool) {
	return e.retryAt, e.enabled && !e.active
}
