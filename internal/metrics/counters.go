// Package metrics counts what the program receives, sends and answers.
//
// Counters are created by name at first use; docs/oncall.md explains each of them. Totals are the few figures that the
// admin API and the dashboard read all the time. The package does not export to any monitoring system: the counters are
// logged in one line, on SIGUSR1 and at exit.
package metrics

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"linkpass/internal/eventlog"
)

// Counters is a set of named counters. Its methods are safe for concurrent use.
type Counters struct {
	mu     sync.Mutex // guards the map, not the values
	counts map[string]*atomic.Int64
}

// NewCounters returns an empty set.
func NewCounters() *Counters { return &Counters{counts: map[string]*atomic.Int64{}} }

// Add adds n to the counter of that name.
func (c *Counters) Add(name string, n int64) { c.counter(name).Add(n) }

// Get returns the value of the counter of that name, 0 if nothing was added.
func (c *Counters) Get(name string) int64 { return c.counter(name).Load() }

// counter returns the counter of that name, which it creates if there is none.
func (c *Counters) counter(name string) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.counts[name]
	if count == nil {
		count = new(atomic.Int64)
		c.counts[name] = count
	}
	return count
}

// each calls f with the name and value of every counter, sorted by name. It holds mu meanwhile: f must not use c.
func (c *Counters) each(f func(name string, n int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		f(name, c.counts[name].Load())
	}
}

// String lists the counters as name=value, sorted by name and separated by spaces.
func (c *Counters) String() string {
	var b strings.Builder
	c.each(func(name string, n int64) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(name + "=" + strconv.FormatInt(n, 10))
	})
	return b.String()
}

// Log logs all counters in one line, with the reason for logging them.
func (c *Counters) Log(reason string) {
	values := []any{reason}
	c.each(func(name string, n int64) { values = append(values, name, n) })
	if dropped := eventlog.DroppedLines(); dropped > 0 {
		values = append(values, "log_lines_dropped", dropped)
	}
	eventlog.Counters.Log(values...)
}
