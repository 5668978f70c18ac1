package coordinator

import (
	"testing"
	"time"
)

// Guards against a core that stands still without a trace in its counters (issue 55).
func TestSlowStepIsCounted(t *testing.T) {
	testCore(t, func(t *testing.T, f *fakeTransports) {
		f.core.Arm(f.core.Now()+10*time.Millisecond, func() { time.Sleep(slowStep) })
		wait(100 * time.Millisecond)
		if got := f.core.counters.Get("core_steps_slow"); got != 1 {
			t.Errorf("core_steps_slow = %d after one step of %v, want 1", got, slowStep)
		}
		if got := f.core.counters.Get("core_steps_late"); got != 0 {
			t.Errorf("core_steps_late = %d although no step began late, want 0", got)
		}
	})
}
