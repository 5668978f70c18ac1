package coordinator

import (
	"time"

	"linkpass/internal/eventlog"
)

// slowStep is how long one step of the event loop may take, or how late it may begin, before it is logged and counted.
// It is the time that Settings.AnswerSlack usually leaves for an answer.
const slowStep = 20 * time.Millisecond

// stepMonitor measures the steps of the event loop: each handles messages and then makes a turn. The event loop owns it.
type stepMonitor struct {
	log      eventlog.RateLimited
	wakeAt   time.Duration // when the loop is to wake at the latest, on the clock of Core.Now
	begunAt  time.Duration // when the present step began
	messages int           // that the present step has handled
}

// begin records that a step begins at the given time.
func (m *stepMonitor) begin(now time.Duration) {
	m.begunAt = now
	m.messages = 0
}

// endStep counts and logs the step if it was slow or began late. handledAt is when its messages had been handled, and
// events is the number of events of its turn.
func (c *Core) endStep(handledAt time.Duration, events int) {
	m := &c.steps
	now := c.Now()
	late, took := m.begunAt-m.wakeAt, now-m.begunAt
	if late >= slowStep {
		c.counters.Add("core_steps_late", 1)
	}
	if took >= slowStep {
		c.counters.Add("core_steps_slow", 1)
	}
	if late >= slowStep || took >= slowStep {
		m.log.Log(eventlog.CoreStepSlow, max(0, late).Milliseconds(), (handledAt - m.begunAt).Milliseconds(),
			(now - handledAt).Milliseconds(), m.messages, events, len(c.queries), c.deadlines.Len(), c.router.SampleCount())
	}
}
