package discovery

import (
	"cmp"
	"time"
)

// Timeouts is how long a watcher waits for discovery, and how long it rests after a call that failed.
type Timeouts struct {
	dial        time.Duration // for a connection
	begin, goOn time.Duration // past a call's own wait: of a watch that begins, and of one that goes on
	rest, most  time.Duration // before the next try, about, and what that is doubled up to
}

// SharedServiceTimeouts is for one service that answers all coordinators in turn. A watch that begins may stand in its
// queue, and would lose its place there. Many who are turned away must not keep it down.
var SharedServiceTimeouts = Timeouts{dial: 500 * time.Millisecond, begin: 2500 * time.Millisecond, goOn: 750 * time.Millisecond,
	rest: 50 * time.Millisecond, most: 1600 * time.Millisecond}

const defaultGrace = time.Second // for sends to a server that drains, where the settings name none

// LocalAgentTimeouts is for an agent on this machine that is told of changes, and answers at once and at no cost. What
// it has counts as told, asked for or not, and a call that it met with silence is never answered: grace
// after a change nothing may be sent by the old list. So an agent that speaks again has to be heard by just
// over half of that: a call that it never answers, the longest rest with its jitter, and room for the answer.
func LocalAgentTimeouts(grace time.Duration) Timeouts {
	grace = cmp.Or(grace, defaultGrace)
	return Timeouts{dial: grace / 4, begin: grace / 4, goOn: grace / 4, rest: grace / 20, most: grace / 5}
}

// rested is how long to rest now, chance being from 0 to 1, and how long about the next time.
func (p Timeouts) rested(rest time.Duration, chance float64) (now, next time.Duration) {
	return time.Duration((0.5 + chance) * float64(rest)), min(2*rest, p.most)
}
