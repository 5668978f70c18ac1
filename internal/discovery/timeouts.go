package discovery

import (
	"cmp"
	"time"
)

const (
	// longPollWait is how long discovery may hold a call without changes. It is short: a connection that fell silent
	// looks like a list without changes until the wait is over.
	longPollWait = time.Second
	// firstAnswerTimeout is how long discovery's first answer is awaited before the cached list is used.
	firstAnswerTimeout = 300 * time.Millisecond
	// startupTimeout is the same where no endpoint is cached. The platform requires a start to be ready in 10 s.
	startupTimeout = 8 * time.Second
	// defaultDrainGrace is for sends to a draining server, where the settings name none.
	defaultDrainGrace = time.Second
)

// Timeouts limits a watcher's calls, and sets its backoff after a call that failed.
type Timeouts struct {
	dial time.Duration

	// Beyond the time that a call asks discovery to hold it: for the first two calls of a watch, and for later ones.
	startSlack, renewSlack time.Duration

	minBackoff, maxBackoff time.Duration // doubled after each failure in a row, before jitter
}

// SharedServiceTimeouts is for one service that answers all coordinators in turn. startSlack is long because a call
// that is given up loses its position in the service's queue.
var SharedServiceTimeouts = Timeouts{
	dial:       500 * time.Millisecond,
	startSlack: 2500 * time.Millisecond,
	renewSlack: 750 * time.Millisecond,
	minBackoff: 50 * time.Millisecond,
	maxBackoff: 1600 * time.Millisecond,
}

// LocalAgentTimeouts is for an agent on this machine, which answers at once and may drop a call without an answer.
// drainGrace (default 1 s) is how long after a change sends by the old list may go on. An agent that is back has to be
// reached well within it: one unanswered call, the longest backoff with its jitter, and the answer take just over half.
func LocalAgentTimeouts(drainGrace time.Duration) Timeouts {
	drainGrace = cmp.Or(drainGrace, defaultDrainGrace)
	return Timeouts{
		dial:       drainGrace / 4,
		startSlack: drainGrace / 4,
		renewSlack: drainGrace / 4,
		minBackoff: drainGrace / 20,
		maxBackoff: drainGrace / 5,
	}
}

// backoff returns how long to wait after a failure and the base of the next wait. The wait is base with a jitter of
// half of it to either side; random is from 0 to 1.
func (t Timeouts) backoff(base time.Duration, random float64) (wait, nextBase time.Duration) {
	return time.Duration((0.5 + random) * float64(base)), min(2*base, t.maxBackoff)
}
