package coordinator

import (
	"container/list"
	"sync"
	"time"

	"linkpass/internal/deadline"
)

// externalDeadline is a deadline in the core's queue that was set by another component.
type externalDeadline struct {
	at    time.Duration // on the clock of Core.Now
	fire  func()
	entry *deadline.Entry // nil until the event loop has armed it; owned by the loop

	queued *list.Element // in the deferred queue, whose mutex guards it; nil once the loop has taken it, or it is disarmed
}

// Arm sets a deadline in the core's queue for another component, at a time on the clock of Core.Now. fire runs on the
// core's goroutine and must not block. The returned function removes the deadline and may be called more than once.
// Neither Arm nor that function blocks, even if the mailbox is full.
func (c *Core) Arm(at time.Duration, fire func()) (disarm func()) {
	d := &externalDeadline{at: at, fire: fire}
	c.deferred.addArmed(d)
	return sync.OnceFunc(func() { c.deferred.addDisarmed(d) })
}

func (c *Core) armExternal(d *externalDeadline) { d.entry = c.deadlines.Arm(d.at, d.fire) }

func (c *Core) disarmExternal(d *externalDeadline) { c.deadlines.Disarm(d.entry) }
