package discovery

import (
	"cmp"
	"time"
)

const (
	// longPollWait is how long discovery may hold a call without changes. It is short because, until the wait is
	// over, a broken connection that carries nothing can't be told from a list without changes.
	longPollWait = time.Second
	// firstAnswerTimeout is how long the watcher waits for discovery's first answer before it is ready with the cached
	// list.
	firstAnswerTimeout = 300 * time.Millisecond
	// startupTimeout takes its place if no endpoint is cached. The platform requires a process to be ready within 10 s
	// of its start.
	startupTimeout = 8 * time.Second
	// defaultDrainGrace is how long sends to a draining server may go on if the settings do not say.
	defaultDrainGrace = time.Second
)

// Timeouts holds the time limits of a watcher's calls and the backoff after failed calls. Its zero value is not usable:
// take SharedServiceTimeouts or LocalAgentTimeouts.
type Timeouts struct {
	dial time.Duration // limit of connecting

	// The time that a call may take beyond the wait that it requests: startSlack until startSlackCalls calls have been
	// answered, renewSlack for later calls. A failure or a change of address starts the count again.
	startSlack, renewSlack time.Duration

	minBackoff, maxBackoff time.Duration // before jitter; the backoff doubles after each consecutive failure
}

// SharedServiceTimeouts is for a service that answers the calls of all coordinators one after the other. startSlack is
// long because a call that is abandoned loses its position in the service's queue.
var SharedServiceTimeouts = Timeouts{
	dial:       500 * time.Millisecond,
	startSlack: 2500 * time.Millisecond,
	renewSlack: 750 * time.Millisecond,
	minBackoff: 50 * time.Millisecond,
	maxBackoff: 1600 * time.Millisecond,
}

// LocalAgentTimeouts returns the timeouts for a discovery agent on this machine, which answers at once and may drop a
// call without an answer. drainGrace is how long after a change sends may still follow the old list; 0 is 1 s. An
// agent that has recovered has to be reached well within drainGrace: one unanswered call, the longest backoff with
// its jitter, and the answer take just over half of it.
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

// minBackoffJitter is the smallest factor of a wait after a failure: the wait is its base times a random factor from
// minBackoffJitter to minBackoffJitter + 1.
const minBackoffJitter = 0.5

// backoff returns how long to wait after a failure, and the base of the wait after the next consecutive one. The wait
// is base plus or minus a jitter of at most half of base; random is from 0 to 1.
func (t Timeouts) backoff(base time.Duration, random float64) (wait, nextBase time.Duration) {
	return time.Duration((minBackoffJitter + random) * float64(base)), min(2*base, t.maxBackoff)
}
