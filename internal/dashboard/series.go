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
	// SampleInterval is the time between two samples.
	SampleInterval = 2 * time.Second
	// Window is the time that the charts span.
	Window = 5 * time.Minute
	// partition is the storage's unit of retention; it holds two.
	partition = Window
)

// outcomes of a response: metrics of the storage, classes in the page's style sheet, words in the page.
var outcomes = []string{"served", "refused", "failed"}

// Series holds the rates of final responses by class and outcome. Its memory is bounded: two partitions of samples.
// Classes and rates are safe for concurrent use, also with Add.
type Series struct {
	storage tstorage.Storage

	mu      sync.Mutex
	classes []string // of the last sample

	// Owned by the goroutine that calls Add.
	counts map[countKey]int64 // at the last sample
	at     time.Time          // of the last sample
}

type countKey struct{ class, outcome string }

// NewSeries returns an empty series in memory; Close has to follow.
func NewSeries() (*Series, error) {
	s, err := tstorage.NewStorage(
		tstorage.WithTimestampPrecision(tstorage.Milliseconds),
		tstorage.WithPartitionDuration(partition),
		tstorage.WithRetention(2*partition),
	)
	if err != nil {
		return nil, fmt.Errorf("time series: %w", err)
	}
	return &Series{storage: s, counts: map[countKey]int64{}}, nil
}

// Close frees the storage and ends its goroutines.
func (s *Series) Close() error { return s.storage.Close() }

// Add stores the rates since the last sample; the first sample is only counted from. One goroutine calls it, in the
// order of time: after a step back of the clock it counts anew.
func (s *Series) Add(now time.Time, classes []adminapi.ClassStatus) error {
	elapsed := now.Sub(s.at).Seconds()
	hasRates := !s.at.IsZero() && elapsed > 0
	var rows []tstorage.Row
	var names []string
	for _, c := range classes {
		names = append(names, c.Name)
		for i, count := range []int64{c.Served, c.Rejected, c.Failed} {
			key := countKey{c.Name, outcomes[i]}
			if hasRates && count >= s.counts[key] { // a lower count is a restart: a gap
				rows = append(rows, newRow(key, now, float64(count-s.counts[key])/elapsed))
			}
			s.counts[key] = count
		}
	}
	s.at = now
	s.setClasses(names)
	if len(rows) == 0 {
		return nil
	}
	if err := s.storage.InsertRows(rows); err != nil {
		return fmt.Errorf("time series: %w", err)
	}
	return nil
}

func newRow(key countKey, at time.Time, rate float64) tstorage.Row {
	return tstorage.Row{
		Metric:    key.outcome,
		Labels:    classLabels(key.class),
		DataPoint: tstorage.DataPoint{Timestamp: at.UnixMilli(), Value: rate},
	}
}

func classLabels(class string) []tstorage.Label {
	return []tstorage.Label{{Name: "class", Value: class}}
}

func (s *Series) setClasses(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.classes = names
}

// Classes returns the classes of the last sample, in its order.
func (s *Series) Classes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.classes
}

// point is a rate in responses a second.
type point struct {
	at   time.Time
	rate float64
}

// rates returns those of a class and outcome within Window before now, oldest first.
func (s *Series) rates(now time.Time, class, outcome string) ([]point, error) {
	stored, err := s.storage.Select(outcome, classLabels(class), now.Add(-Window).UnixMilli(), now.UnixMilli()+1)
	if errors.Is(err, tstorage.ErrNoDataPoints) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("time series: %w", err)
	}
	points := make([]point, len(stored))
	for i, p := range stored {
		points[i] = point{time.UnixMilli(p.Timestamp), p.Value}
	}
	return points, nil
}
