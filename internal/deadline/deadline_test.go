package deadline

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "linkpass/internal/testrand"
)

// After any sequence of Arm and Disarm, FireDue fires exactly the timers that are due, in the order of their times.
func TestFireDueFiresTimersInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var fired []time.Duration
		open := map[*Entry]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				at := now + time.Duration(rapid.IntRange(-3, 20).Draw(t, "at"))
				open[q.Arm(at, func() { fired = append(fired, at) })] = at
			case 2:
				for e := range open {
					q.Disarm(e)
					q.Disarm(e) // a second time does nothing
					delete(open, e)
					break
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 10).Draw(t, "pass"))
				var want []time.Duration
				for e, at := range open {
					if at <= now {
						want = append(want, at)
						delete(open, e)
					}
				}
				slices.Sort(want)
				fired = nil
				if n := q.FireDue(now); n != len(want) || !slices.Equal(fired, want) {
					t.Fatalf("FireDue(%d) = %d, fired %v; want %v", now, n, fired, want)
				}
			}
			if q.Len() != len(open) {
				t.Fatalf("Len() = %d, want %d", q.Len(), len(open))
			}
		}
	})
}

// Guards against a timer that is armed by a fired function, is already due, and yet waits for the next call of
// FireDue.
func TestFireDueFiresTimersArmedMeanwhile(t *testing.T) {
	var q Queue
	n := 0
	q.Arm(1, func() { q.Arm(1, func() { n++ }) })
	if q.FireDue(1); n != 1 {
		t.Errorf("fired %d timers armed by a fired function, want 1", n)
	}
	if _, ok := q.Next(); ok {
		t.Error("a timer is still armed after FireDue")
	}
}
