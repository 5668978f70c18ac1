package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// Age of a load report at which its load from other coordinators counts half, in median latencies.
	reportHalfLifeLatencies = 15

	// Approximate age of a load report when it is received.
	typicalReportDelay = time.Second

	// Lower bound of a utilization: limits how far a low one raises the estimate of a warm server's capacity.
	minUtilization = 0.4
)

// loadReport is the latest load report of a server. Its values are nil before the first report.
type loadReport struct {
	values   []float64     // in the order of Settings.ReportFields
	at       time.Duration // when the latest report was received, changed or not
	inFlight int           // this coordinator's attempts in flight when the values changed
}

// loadEstimator estimates the load of servers from their load reports and this coordinator's own attempts.
type loadEstimator struct {
	settings     *Settings
	latencies    *latencyStats
	serviceTimes *slidingWindow // as reported by all servers, in milliseconds

	// Weight of a reported service time, from 0 to 1. It falls as this coordinator gets more samples of its
	// own, which show how fast a server is.
	serviceTimeWeight float64
}

func newLoadEstimator(settings *Settings, latencies *latencyStats) *loadEstimator {
	return &loadEstimator{
		settings:     settings,
		latencies:    latencies,
		serviceTimes: newSlidingWindow(statsWindow),
	}
}

// updateServiceTimeWeight sets the weight of reported service times, given the mean time between two own
// samples of a server, in nanoseconds. The error of a report and of an own sample grows with its age, so each
// is weighted by the inverse square of its age.
func (l *loadEstimator) updateServiceTimeWeight(sampleInterval float64) {
	l.serviceTimeWeight = 1 / (1 + math.Pow(float64(typicalReportDelay)/sampleInterval, 2))
}

// recordReport records a server's load report. An empty report is ignored.
func (l *loadEstimator) recordReport(now time.Duration, s *server, report []float64) {
	if len(report) == 0 {
		return
	}
	s.report.at = now
	if slices.Equal(report, s.report.values) {
		return
	}
	s.report.values = append(s.report.values[:0], report...)
	s.report.inFlight = s.inFlight.count
	if serviceTime, ok := l.reportedValue(s, FieldServiceTime); ok && serviceTime > 0 {
		l.serviceTimes.add(now, serviceTime)
	}
}

// reportedValue returns a value of a server's latest report, in the field's unit. ok is false if the report
// lacks it.
func (l *loadEstimator) reportedValue(s *server, f ReportField) (value float64, ok bool) {
	i := slices.Index(l.settings.ReportFields, f)
	if i < 0 || i >= len(s.report.values) || math.IsNaN(s.report.values[i]) {
		return 0, false
	}
	return s.report.values[i], true
}

// load estimates a server's load in requests of usual work, including the next one: the reported requests of
// other coordinators, less those that have probably ended since the report, plus this coordinator's attempts
// in flight, relative to the server's capacity if it is known.
func (l *loadEstimator) load(now time.Duration, s *server) float64 {
	reported := l.reportedRequests(s)
	serviceTime := l.relativeServiceTime(now, s)
	ageInLatencies := float64(now-s.report.at) / l.latencies.overallMedian(now)
	remaining := exp2(-ageInLatencies / (reportHalfLifeLatencies * serviceTime))
	requests := max(0, reported-float64(s.report.inFlight))*remaining + float64(s.inFlight.count)
	if l.settings.WeightsAreCapacities && s.endpoint.Weight > 0 {
		requests = (requests+1)/s.endpoint.Weight - 1
	}
	return (requests + 1) * serviceTime
}

// reportedRequests returns the number of requests in flight at a server, according to its report.
func (l *loadEstimator) reportedRequests(s *server) float64 {
	if inFlight, ok := l.reportedValue(s, FieldInFlight); ok {
		return inFlight
	}
	queue, hasQueue := l.reportedValue(s, FieldQueueLength)
	utilization, _ := l.reportedValue(s, FieldUtilization)
	rate, _ := l.reportedValue(s, FieldRate)
	serviceTime, hasServiceTime := l.reportedValue(s, FieldServiceTime)
	if !hasQueue && hasServiceTime {
		return rate * serviceTime / 1000 // Little's law; service time in ms, rate per second
	}
	return queue + utilization
}

// relativeServiceTime returns a server's reported service time relative to the median of all servers,
// discounted by serviceTimeWeight. It is at least 1: a lower value is chance.
func (l *loadEstimator) relativeServiceTime(now time.Duration, s *server) float64 {
	serviceTime, _ := l.reportedValue(s, FieldServiceTime)
	median := l.serviceTimes.median(now, max(1, serviceTime))
	return math.Pow(max(1, serviceTime/median), l.serviceTimeWeight)
}

// utilization returns the share of a server's capacity that is in use, from minUtilization to 1. If the
// report lacks it, it is the requests being executed divided by the server's weight, where weights are
// capacities. A server without a report within statsWindow counts as fully used.
func (l *loadEstimator) utilization(now time.Duration, s *server) float64 {
	share, ok := l.reportedValue(s, FieldUtilization)
	inFlight, hasInFlight := l.reportedValue(s, FieldInFlight)
	if !ok && hasInFlight && l.settings.WeightsAreCapacities && s.endpoint.Weight > 0 {
		queue, hasQueue := l.reportedValue(s, FieldQueueLength)
		share, ok = (inFlight-queue)/s.endpoint.Weight, hasQueue
	}
	if !ok || now > s.report.at+statsWindow {
		share = 1
	}
	return max(minUtilization, min(1, share))
}
