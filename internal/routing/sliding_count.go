package routing

import "time"

// maxCountSteps is the maximum number of steps of time that a slidingCount tells apart.
const maxCountSteps = 1 << 14

// slidingCount counts the events of the last span of time. However many there are, an event costs the same,
// and the memory is bounded: events of one turn are counted together, as are those of turns that lie closer
// together than span/maxCountSteps.
type slidingCount struct {
	span  time.Duration
	steps ringQueue[countStep] // oldest first, at most maxCountSteps+1
	total int                  // sum of the steps' counts
}

// countStep is the number of events in a step of time.
type countStep struct {
	at    time.Duration // of the latest event
	count int
}

func newSlidingCount(span time.Duration) *slidingCount { return &slidingCount{span: span} }

// newSlidingCounts returns n counts of the same span.
func newSlidingCounts(n int, span time.Duration) []*slidingCount {
	counts := make([]*slidingCount, n)
	for i := range counts {
		counts[i] = newSlidingCount(span)
	}
	return counts
}

// add counts an event that happens now.
func (c *slidingCount) add(now time.Duration) {
	c.trim(now)
	c.total++
	resolution := max(1, c.span/maxCountSteps)
	if newest := c.steps.newest(); newest != nil && newest.at/resolution == now/resolution {
		newest.at = now
		newest.count++
		return
	}
	c.steps.push(countStep{at: now, count: 1})
}

// trim drops the events whose age is at least the span.
func (c *slidingCount) trim(now time.Duration) {
	if newest := c.steps.newest(); newest != nil && newest.at <= now-c.span {
		c.steps.clear()
		c.total = 0
	}
	for c.steps.len() > 0 && c.steps.at(0).at <= now-c.span {
		c.total -= c.steps.pop().count
	}
}

// count returns the number of events in the span.
func (c *slidingCount) count(now time.Duration) int {
	c.trim(now)
	return c.total
}
