// Package counters counts what the program takes in, sends and answers.
package counters

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"linkpass/internal/event"
)

// Set is a group of named counters. Its methods may be called from anywhere.
type Set struct {
	mu     sync.Mutex
	counts map[string]*atomic.Int64
}

// New makes an empty set.
func New() *Set { return &Set{counts: map[string]*atomic.Int64{}} }

// Add counts n under a name.
func (s *Set) Add(name string, n int64) { s.counter(name).Add(n) }

// Get is the count under a name.
func (s *Set) Get(name string) int64 { return s.counter(name).Load() }

func (s *Set) counter(name string) *atomic.Int64 {
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
func (s *Set) String() string {
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

// Print logs every counter in one line.
func (s *Set) Print(why string) {
	values := []any{why}
	s.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(s.counts)) {
		values = append(values, name, s.counts[name].Load())
	}
	s.mu.Unlock()
	event.Counters.Log(values...)
}

// Figures are what the operators read. Each is changed in one place: where the thing
// that it counts happens.
type Figures struct {
	Classes                 []string
	Served, Refused, Failed []atomic.Int64 // final answers, by class
	Attempts                atomic.Int64   // written whole to league servers
	InFlight                atomic.Int64   // queries taken and not yet ended
	Known, Excluded         atomic.Int64   // servers listed, and those of them avoided now
}

// NewFigures makes figures for classes of these names, all 0.
func NewFigures(classes []string) *Figures {
	n := len(classes)
	return &Figures{Classes: classes, Served: make([]atomic.Int64, n), Refused: make([]atomic.Int64, n),
		Failed: make([]atomic.Int64, n)}
}
