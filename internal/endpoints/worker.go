package endpoints

import (
	"context"
	"time"

	"linkpass/internal/config/restriction"
)

// The interval between two attempts of a worker. It is short after the first initialAttempts attempts, because a drain
// must reach the other instances within a second, and long after later ones, because a partition may last for hours.
const (
	initialRetryInterval = 25 * time.Millisecond
	laterRetryInterval   = 400 * time.Millisecond
	initialAttempts      = 20
)

// worker calls handle repeatedly while there are requests, and waits for notify while there are none.
type worker struct {
	wake     chan struct{} // capacity 1; never closed
	requests func() []restriction.Request
	handle   func(context.Context, []restriction.Request)
}

func newWorker(requests func() []restriction.Request, handle func(context.Context, []restriction.Request)) *worker {
	return &worker{wake: make(chan struct{}, 1), requests: requests, handle: handle}
}

// notify wakes the worker and makes its retry interval short again. It does not block: if a wake-up is pending already,
// another one is not needed.
func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run handles requests until the context ends.
func (w *worker) run(ctx context.Context) {
	for attempts := 0; ; attempts++ {
		var retry <-chan time.Time
		if requests := w.requests(); len(requests) > 0 {
			w.handle(ctx, requests)
			retry = time.After(retryInterval(attempts))
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			attempts = 0
		case <-retry:
		}
	}
}

// retryInterval returns how long a worker waits after an attempt; attempts counts those since it was last woken.
func retryInterval(attempts int) time.Duration {
	if attempts < initialAttempts {
		return initialRetryInterval
	}
	return laterRetryInterval
}
