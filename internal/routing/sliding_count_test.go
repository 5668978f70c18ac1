package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a count that differs from that of the events themselves, at turns a millisecond or more apart.
func TestSlidingCountMatchesItsEvents(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	c := newSlidingCount(10 * time.Second)
	var events []time.Duration
	for now := time.Duration(0); now < time.Minute; now += ms + time.Duration(random.Int64N(int64(20*ms))) {
		for range random.IntN(5) {
			c.add(now)
			events = append(events, now)
		}
		for len(events) > 0 && events[0] <= now-c.span {
			events = events[1:]
		}
		if got := c.count(now); got != len(events) {
			t.Fatalf("count at %v = %d, want %d", now, got, len(events))
		}
	}
	if got := c.count(time.Hour); got != 0 || len(c.steps.ring) != 0 {
		t.Errorf("after the span: count = %d, %d steps in memory, want none", got, len(c.steps.ring))
	}
}

// Guards against memory and work that grow with the number of arrivals in the span (issue 55).
func TestSlidingCountIsBounded(t *testing.T) {
	const events = 2_000_000
	c := newSlidingCount(10 * time.Second)
	step := c.span / events
	for i := range 2 * events {
		c.add(time.Duration(i) * step)
	}
	if got := c.steps.len(); got > maxCountSteps+1 {
		t.Errorf("%d steps for %d events, want at most %d", got, events, maxCountSteps+1)
	}
	if got := c.count(2 * events * step); got < events-events/1000 || got > events+events/1000 {
		t.Errorf("count = %d, want about %d", got, events)
	}
}
