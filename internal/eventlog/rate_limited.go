package eventlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a RateLimited: it logs the first burst lines, then one line per interval.
const (
	burst    = 20
	interval = time.Second
)

// RateLimited limits the log lines of events that clients or servers can cause at will: a burst first, then one line
// a second. Callers still count the events that are not logged. The zero value is ready for use. A RateLimited is
// safe for concurrent use.
type RateLimited struct {
	once      sync.Once
	sometimes rate.Sometimes
}

// Log logs the event, or drops it if the limit is reached.
func (l *RateLimited) Log(e *Event, values ...any) {
	l.once.Do(func() { l.sometimes = rate.Sometimes{First: burst, Interval: interval} })
	l.sometimes.Do(func() { e.Log(values...) })
}
