package coordinator

import (
	"strconv"
	"time"
)

// answerDelayBuckets are the upper bounds, in milliseconds, of the histogram that countAnswerDelay fills.
var answerDelayBuckets = []int{5, 10, 20, 50, 100, 500}

// countClass increments the counter of one query class: name, an underscore and the class's name.
func (c *Core) countClass(name string, class int) {
	c.counters.Add(name+"_"+c.totals.Classes[class], 1)
}

// countAnswerDelay records how long a query stayed open after it could no longer be answered because its body was
// evicted.
func (c *Core) countAnswerDelay(q *query) {
	if q.unanswerableAt == 0 {
		return
	}
	delay := c.Now() - q.unanswerableAt
	for _, bound := range answerDelayBuckets {
		if delay <= time.Duration(bound)*time.Millisecond {
			c.countClass("body_evicted_final_ms_"+strconv.Itoa(bound), q.Class)
			return
		}
	}
	c.countClass("body_evicted_final_ms_more", q.Class)
}
