package coordinator

import (
	"sync"
	"time"

	"linkpass/internal/deadline"
)

// Arm sets a deadline in the core's queue on behalf of another owner. fire runs on the core's goroutine and must not
// block. The returned function removes the deadline; it may be called more than once. Neither waits, even with a full
// mailbox.
func (c *Core) Arm(at time.Duration, fire func()) (disarm func()) {
	var entry *deadline.Entry
	c.deferred.add(func() { entry = c.deadlines.Arm(at, fire) })
	return sync.OnceFunc(func() { c.deferred.add(func() { c.deadlines.Disarm(entry) }) })
}
