package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// Age of a load report at which the load of other coordinators in it counts half, in median latencies.
	reportHalfLifeLatencies = 15

	// About the age of a load report that has just come.
	typicalReportDelay = time.Second

	// Bounds how far a low utilization raises the estimate of what a warm server could take.
	minUtilization = 0.4
)

// loadReport is the latest load report of a server.
type loadReport struct {
	values   []float64 // in the order of Settings.ReportFields
	at       time.Duration
	inFlight int // this coordinator's attempts in flight when the values changed
}

// loadEstimator estimates the load of servers from their reports and this coordinator's own attempts.
type loadEstimator struct {
	settings     *Settings
	latencies    *latencyStats
	serviceTimes *slidingWindow // as reported by all servers, in milliseconds

	// Weight of a reported service time, from 0 to 1: the less, the more often this coordinator's own
	// attempts show how fast a server is.
	serviceTimeWeight float64
}

func newLoadEstimator(settings *Settings, latencies *latencyStats) *loadEstimator {
	return &loadEstimator{
		settings:     settings,
		latencies:    latencies,
		serviceTimes: newSlidingWindow(statsWindow),
	}
}

// update takes the mean time between two own samples of a server, in nanoseconds. The error of either source
// grows with its age, so they are weighted by the square of it.
func (l *loadEstimator) update(sampleInterval float64) {
	l.serviceTimeWeight = 1 / (1 + math.Pow(float64(typicalReportDelay)/sampleInterval, 2))
}

// learn takes a server's report; an empty one says nothing.
func (l *loadEstimator) learn(now time.Duration, s *server, report []float64) {
	if len(report) == 0 {
		return
	}
	s.report.at = now
	if slices.Equal(report, s.report.values) {
		return
	}
	s.report.values = append(s.report.values[:0], report...)
	s.report.inFlight = s.inFlight.count
	if serviceTime, ok := l.field(s, FieldServiceTime); ok && serviceTime > 0 {
		l.serviceTimes.add(now, serviceTime)
	}
}

// field is a value of a server's latest report, in the field's unit.
func (l *loadEstimator) field(s *server, f ReportField) (value float64, ok bool) {
	i := slices.Index(l.settings.ReportFields, f)
	if i < 0 || i >= len(s.report.values) || math.IsNaN(s.report.values[i]) {
		return 0, false
	}
	return s.report.values[i], true
}

// load is a server's load in requests of usual work, the next one included: what its report says, less what
// has probably ended since, and this coordinator's own attempts, set against the server's size.
func (l *loadEstimator) load(now time.Duration, s *server) float64 {
	reported := l.reportedRequests(s)
	serviceTime := l.relativeServiceTime(now, s)
	ageInLatencies := float64(now-s.report.at) / l.latencies.overallMedian(now)
	remaining := math.Exp2(-ageInLatencies / (reportHalfLifeLatencies * serviceTime))
	requests := max(0, reported-float64(s.report.inFlight))*remaining + float64(s.inFlight.count)
	if l.settings.WeightsAreCapacities && s.endpoint.Weight > 0 {
		requests = (requests+1)/s.endpoint.Weight - 1
	}
	return (requests + 1) * serviceTime
}

// reportedRequests is the number of requests in flight at a server by its report.
func (l *loadEstimator) reportedRequests(s *server) float64 {
	if inFlight, ok := l.field(s, FieldInFlight); ok {
		return inFlight
	}
	queue, hasQueue := l.field(s, FieldQueueLength)
	utilization, _ := l.field(s, FieldUtilization)
	rate, _ := l.field(s, FieldRate)
	serviceTime, hasServiceTime := l.field(s, FieldServiceTime)
	if !hasQueue && hasServiceTime {
		return rate * serviceTime / 1000 // Little's law, with milliseconds and a rate a second
	}
	return queue + utilization
}

// relativeServiceTime is how much longer than elsewhere a request takes at a server, by its report; at least
// 1, as a lower figure is chance.
func (l *loadEstimator) relativeServiceTime(now time.Duration, s *server) float64 {
	serviceTime, _ := l.field(s, FieldServiceTime)
	median := l.serviceTimes.median(now, max(1, serviceTime))
	return math.Pow(max(1, serviceTime/median), l.serviceTimeWeight)
}

// utilization is the share of a server's capacity that is in use, by its report: what it works on of its size
// where the report says no more. A server that has reported nothing lately counts as fully used.
func (l *loadEstimator) utilization(now time.Duration, s *server) float64 {
	share, ok := l.field(s, FieldUtilization)
	inFlight, hasInFlight := l.field(s, FieldInFlight)
	if !ok && hasInFlight && l.settings.WeightsAreCapacities && s.endpoint.Weight > 0 {
		queue, hasQueue := l.field(s, FieldQueueLength)
		share, ok = (inFlight-queue)/s.endpoint.Weight, hasQueue
	}
	if !ok || now > s.report.at+statsWindow {
		share = 1
	}
	return max(minUtilization, min(1, share))
}
