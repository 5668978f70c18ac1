// Package dashboard draws a coordinator for a browser: its state, the fleet, slices, open plans, and service by class over the
// last minutes. It only reads.
package dashboard

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/nakabonne/tstorage"

	"linkpass/internal/adminapi"
)

const (
	// SampleInterval is between two samples.
	SampleInterval = 2 * time.Second
	// Window is how far back the charts go.
	Window = 5 * time.Minute
	// partition is the library's unit of forgetting: it keeps two in memory, and what is older goes.
	partition = Window
)

// kinds of final answers, as they are drawn.
var kinds = []string{"served", "refused", "failed"}

// Series is the answers by class over the last minutes. Its use of memory is bounded: two partitions of samples.
type Series struct {
	store tstorage.Storage

	mu      sync.Mutex
	classes []string // as last sampled

	// Owned by Add's caller.
	last map[string]int64 // counts at the last sample, by class and kind
	at   time.Time        // of the last sample
}

// NewSeries makes an empty one, in memory.
func NewSeries() (*Series, error) {
	s, err := tstorage.NewStorage(tstorage.WithTimestampPrecision(tstorage.Milliseconds), tstorage.WithPartitionDuration(partition),
		tstorage.WithRetention(2*partition))
	if err != nil {
		return nil, fmt.Errorf("time series: %w", err)
	}
	return &Series{store: s, last: map[string]int64{}}, nil
}

// Close gives it back.
func (s *Series) Close() error { return s.store.Close() }

// Add takes a sample: the answers since the last one become a rate. The first only says where to count from. One
// goroutine calls it.
func (s *Series) Add(now time.Time, classes []adminapi.ClassStatus) error {
	first := s.at.IsZero()
	per := now.Sub(s.at).Seconds()
	if per <= 0 {
		first = true // the clock went back: count from here
	}
	var rows []tstorage.Row
	var names []string
	for _, c := range classes {
		names = append(names, c.Name)
		for i, n := range []int64{c.Served, c.Rejected, c.Failed} {
			name := c.Name + " " + kinds[i]
			if !first && n >= s.last[name] { // a count that fell is a restart: a gap
				rows = append(rows, tstorage.Row{Metric: kinds[i], Labels: []tstorage.Label{{Name: "class", Value: c.Name}},
					DataPoint: tstorage.DataPoint{Timestamp: now.UnixMilli(), Value: float64(n-s.last[name]) / per}})
			}
			s.last[name] = n
		}
	}
	s.at = now
	s.mu.Lock()
	s.classes = names
	s.mu.Unlock()
	if len(rows) == 0 {
		return nil
	}
	if err := s.store.InsertRows(rows); err != nil {
		return fmt.Errorf("time series: %w", err)
	}
	return nil
}

// Classes are the classes as last sampled.
func (s *Series) Classes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.classes
}

// point is a rate at a time.
type point struct {
	at   time.Time
	rate float64
}

// rates are those of a class and kind within the window before now, oldest first.
func (s *Series) rates(now time.Time, class, kind string) ([]point, error) {
	list, err := s.store.Select(kind, []tstorage.Label{{Name: "class", Value: class}}, now.Add(-Window).UnixMilli(), now.UnixMilli()+1)
	if errors.Is(err, tstorage.ErrNoDataPoints) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("time series: %w", err)
	}
	out := make([]point, len(list))
	for i, p := range list {
		out[i] = point{time.UnixMilli(p.Timestamp), p.Value}
	}
	return out, nil
}
