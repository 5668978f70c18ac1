package coordinator

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a queue that grows with the requests that come while the event loop is held up (issue 55).
func TestDisarmedDeadlinesLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newTestCore(t, testSettings()) // its loop does not run
		kept := core.Arm(core.Now()+time.Second, func() {})
		for range 1000 {
			disarm := core.Arm(core.Now()+time.Second, func() {})
			disarm()
			disarm()
		}
		if got := core.deferred.len(); got != 1 {
			t.Errorf("%d messages are queued for one armed deadline, want 1", got)
		}
		core.handleDeferred()
		if got := core.deadlines.Len(); got != 1 {
			t.Errorf("%d deadlines are armed, want 1", got)
		}
		kept()
		core.handleDeferred()
		if got := core.deadlines.Len(); got != 0 {
			t.Errorf("%d deadlines are armed after the last was disarmed, want none", got)
		}
	})
}
