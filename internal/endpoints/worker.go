package endpoints

import (
	"context"
	"time"

	"linkpass/internal/config/restriction"
)

// The pause between two attempts. The first are short, because a drain must reach the other instances within a
// second; the later ones are long, because a partition may last for hours.
const (
	shortPause    = 25 * time.Millisecond
	longPause     = 400 * time.Millisecond
	shortAttempts = 20
)

// worker repeats an action while there are requests for it, and sleeps otherwise.
type worker struct {
	wake     chan struct{} // has room for one; never closed
	requests func() []restriction.Request
	handle   func(context.Context, []restriction.Request)
}

func newWorker(requests func() []restriction.Request, handle func(context.Context, []restriction.Request)) *worker {
	return &worker{wake: make(chan struct{}, 1), requests: requests, handle: handle}
}

// notify wakes the worker. It does not block: one pending wake-up stands for all.
func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run works until the context ends.
func (w *worker) run(ctx context.Context) {
	for attempts := 0; ; attempts++ {
		var retry <-chan time.Time
		if requests := w.requests(); len(requests) > 0 {
			w.handle(ctx, requests)
			retry = time.After(pauseAfter(attempts))
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

func pauseAfter(attempts int) time.Duration {
	if attempts < shortAttempts {
		return shortPause
	}
	return longPause
}
