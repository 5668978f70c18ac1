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
	// Window is the time span of the charts.
	Window = 5 * time.Minute
	// partitionDuration is the time span of a partition, the unit in which the storage drops old data. It keeps two.
	partitionDuration = Window
)

// outcomes are the outcomes of a response. They are the names of the metrics in the storage and of the classes in the
// page's style sheet, and are shown on the page.
var outcomes = []string{"served", "refused", "failed"}

// Series holds the rates of final responses by query class and outcome. Its memory is bounded: it keeps two partitions
// of samples. Classes and rates are safe for concurrent use, also while Add runs. Use NewSeries to create one.
type Series struct {
	storage tstorage.Storage

	mu      sync.Mutex
	classes []string // of the last sample; guarded by mu

	// The fields below are used only by the goroutine that calls Add.
	lastCounts   map[countKey]int64 // counts of responses at the last sample
	lastSampleAt time.Time          // time of the last sample
}

type countKey struct{ class, outcome string }

// NewSeries returns an empty series in memory. The caller must call Close when it no longer uses the series.
func NewSeries() (*Series, error) {
	s, err := tstorage.NewStorage(
		tstorage.WithTimestampPrecision(tstorage.Milliseconds),
		tstorage.WithPartitionDuration(partitionDuration),
		tstorage.WithRetention(2*partitionDuration),
	)
	if err != nil {
		return nil, fmt.Errorf("time series: %w", err)
	}
	return &Series{storage: s, lastCounts: map[countKey]int64{}}, nil
}

// Close frees the storage and stops its goroutines.
func (s *Series) Close() error { return s.storage.Close() }

// Add stores the response rates since the last sample. No rates are stored for the first sample, or for a sample that
// is not later than the last one, as after a step back of the clock. One goroutine calls Add, in the order of time.
func (s *Series) Add(now time.Time, classes []adminapi.ClassStatus) error {
	elapsed := now.Sub(s.lastSampleAt).Seconds()
	hasRates := !s.lastSampleAt.IsZero() && elapsed > 0
	var rows []tstorage.Row
	var names []string
	for _, c := range classes {
		names = append(names, c.Name)
		for i, count := range []int64{c.Served, c.Rejected, c.Failed} {
			key := countKey{c.Name, outcomes[i]}
			if hasRates && count >= s.lastCounts[key] { // lower counts mean a restart: leave a gap
				rows = append(rows, newRow(key, now, float64(count-s.lastCounts[key])/elapsed))
			}
			s.lastCounts[key] = count
		}
	}
	s.lastSampleAt = now
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

// point is a rate at a point in time.
type point struct {
	at   time.Time
	rate float64 // in responses per second
}

// rates returns the rates of a class and an outcome within Window before now, oldest first.
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
