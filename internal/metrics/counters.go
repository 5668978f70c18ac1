// Package metrics counts what the program takes in, sends and answers.
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

// Counters is a group of named counters. Its methods may be called from anywhere.
type Counters struct {
	mu     sync.Mutex
	counts map[string]*atomic.Int64
}

// NewCounters makes an empty set.
func NewCounters() *Counters { return &Counters{counts: map[string]*atomic.Int64{}} }

// Add counts n under a name.
func (s *Counters) Add(name string, n int64) { s.counter(name).Add(n) }

// Get is the count under a name.
func (s *Counters) Get(name string) int64 { return s.counter(name).Load() }

func (s *Counters) counter(name string) *atomic.Int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[name]
	if c == nil {
		c = new(atomic.Int64)
		s.counts[name] = c
	}
	return c
}

// String lists the counters as key=value, by name.
func (s *Counters) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for i, name := range slices.Sorted(maps.Keys(s.counts)) {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(name + "=" + strconv.FormatInt(s.counts[name].Load(), 10))
	}
	return b.String()
}

// Log logs every counter in one line.
func (s *Counters) Log(why string) {
	values := []any{why}
	s.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(s.counts)) {
		values = append(values, name, s.counts[name].Load())
	}
	s.mu.Unlock()
	eventlog.Counters.Log(values...)
}

// Totals are what the operators read. Each is changed in one place: where the thing
// that it counts happens.
type Totals struct {
	Classes                       []string
	Served, Rejected, Failed      []atomic.Int64 // final answers, by class
	Attempts                      atomic.Int64   // written whole to league servers
	InFlight                      atomic.Int64   // queries taken and not yet ended
	ServersKnown, ServersExcluded atomic.Int64   // servers listed, and those of them avoided now
}

// NewTotals makes figures for classes of these names, all 0.
func NewTotals(classes []string) *Totals {
	n := len(classes)
	return &Totals{Classes: classes, Served: make([]atomic.Int64, n), Rejected: make([]atomic.Int64, n),
		Failed: make([]atomic.Int64, n)}
}
