package routing

import "time"

// minTimerDelay is the shortest delay of a timer: a timer is never set for the present or the past.
const minTimerDelay = time.Microsecond

// turnTimer sets the timer that causes the next turn.
type turnTimer struct {
	firesAt time.Duration // clock time at which the latest timer fires
	token   uint64        // of the latest timer
}

// set adds a SetTimer action for the clock time at, unless a pending timer fires by then.
func (t *turnTimer) set(now, at time.Duration, actions *actionList) {
	if t.firesAt > now && t.firesAt <= at {
		return
	}
	t.firesAt = max(at, now+minTimerDelay)
	t.token++
	actions.add(SetTimer{After: t.firesAt - now, Token: t.token})
}
