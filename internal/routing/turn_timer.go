package routing

import "time"

// minTimerDelay keeps a timer in the future.
const minTimerDelay = time.Microsecond

// turnTimer asks for the next turn.
type turnTimer struct {
	firesAt time.Duration // of the latest timer
	token   uint64
}

// set asks for a timer at the time given, unless one fires before it.
func (t *turnTimer) set(now, at time.Duration, actions *actionList) {
	if t.firesAt > now && t.firesAt <= at {
		return
	}
	t.firesAt = max(at, now+minTimerDelay)
	t.token++
	actions.add(SetTimer{After: t.firesAt - now, Token: t.token})
}
