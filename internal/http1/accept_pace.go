package http1

import (
	"time"

	"golang.org/x/time/rate"
)

// What a connection costs beside its requests, and how much of that a listener may cause.
const (
	acceptCost     = 15 * time.Microsecond  // its accept and its close
	connCost       = 100 * time.Microsecond // its goroutine, its first read and its last write
	evictionCost   = 50 * time.Microsecond  // the end of another connection that makes room for it
	maxAcceptShare = 0.5                    // of the time of one processor
	acceptBurst    = 2 * time.Millisecond   // of such cost, after which the listener pauses
)

// acceptPace holds a listener back, so that clients that connect at full speed leave time for requests. It is used by one
// goroutine.
type acceptPace struct{ limiter *rate.Limiter }

func newAcceptPace() acceptPace {
	perSecond := maxAcceptShare * float64(time.Second/time.Microsecond)
	return acceptPace{rate.NewLimiter(rate.Limit(perSecond), int(acceptBurst.Microseconds()))}
}

// wait waits until the listener may accept another connection, after one that has cost something.
func (p acceptPace) wait(cost time.Duration) {
	cost = min(cost, acceptBurst)
	if delay := p.limiter.ReserveN(time.Now(), int(cost.Microseconds())).Delay(); delay >= time.Millisecond {
		time.Sleep(delay)
	}
}
