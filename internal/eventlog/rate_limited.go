package eventlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// A RateLimited logs burst lines, and then one an interval.
const (
	burst    = 20
	interval = time.Second
)

// RateLimited bounds the log lines of events that clients or servers can cause at will: a burst first, then one line a
// second. Events that are not logged are still counted by their callers. The zero value is ready for use; it is safe for
// concurrent use.
type RateLimited struct {
	once      sync.Once
	sometimes rate.Sometimes
}

// Log logs the event unless the limit is reached.
func (l *RateLimited) Log(e *Event, values ...any) {
	l.once.Do(func() { l.sometimes = rate.Sometimes{First: burst, Interval: interval} })
	l.sometimes.Do(func() { e.Log(values...) })
}
