package routing

import "time"

const (
	statsWindow = 10 * time.Second // time span of all latency statistics

	overdueLatencyFactor = 4 // an attempt is overdue at this multiple of its class's median latency
	// Replaces that limit until latencies are known, as a share of the class's latency objective.
	overdueObjectiveShare = 0.4

	// Replaces the median latency of all classes until latencies are known.
	defaultLatency = 100 * time.Millisecond
)

// latencyStats holds the latencies of this coordinator's attempts that succeeded within statsWindow. Medians
// are in nanoseconds.
type latencyStats struct {
	classes     []Class
	byClass     []*slidingWindow
	all         *slidingWindow
	perUnitLoad *slidingWindow // latency divided by the server's load at the time of the send
}

func newLatencyStats(settings *Settings) *latencyStats {
	return &latencyStats{
		classes:     settings.Classes,
		byClass:     newSlidingWindows(len(settings.Classes), statsWindow),
		all:         newSlidingWindow(statsWindow),
		perUnitLoad: newSlidingWindow(statsWindow),
	}
}

// add records the latency of an attempt, and the load that the server had when the attempt was sent.
func (l *latencyStats) add(now time.Duration, class int, latency, load float64) {
	l.byClass[class].add(now, latency)
	l.all.add(now, latency)
	l.perUnitLoad.add(now, latency/load)
}

// classMedian returns the median latency of a class. Without samples it returns an estimate from the latency
// objective of the class.
func (l *latencyStats) classMedian(now time.Duration, class int) float64 {
	objective := float64(l.classes[class].LatencyObjective)
	return l.byClass[class].median(now, overdueObjectiveShare/overdueLatencyFactor*objective)
}

// overallMedian returns the median latency of all classes, or defaultLatency without samples.
func (l *latencyStats) overallMedian(now time.Duration) float64 {
	return l.all.median(now, float64(defaultLatency))
}

// relativeWork returns the work of one part of a class relative to the median of all parts, estimated from
// latencies; 1 without samples.
func (l *latencyStats) relativeWork(now time.Duration, class int) float64 {
	all := l.all.median(now, 1)
	return l.byClass[class].median(now, all) / all
}

// isOverdue reports whether an attempt has been in flight for more than overdueLatencyFactor times the median
// latency of its class.
func (l *latencyStats) isOverdue(now time.Duration, a *attempt) bool {
	return float64(now-a.sentAt) > overdueLatencyFactor*l.classMedian(now, a.part.query.classIndex)
}

// sampleInterval returns the mean time between two latency samples of one server, in nanoseconds.
func (l *latencyStats) sampleInterval(now time.Duration, servers int) float64 {
	return float64(statsWindow) * float64(servers) / float64(max(1, l.all.count(now)))
}

// meanMedianLatency returns the mean of the servers' median latencies, in nanoseconds. Servers without
// samples are left out; it returns 0 if no server has samples.
func meanMedianLatency(now time.Duration, servers []*server) float64 {
	known, sum := 0, 0.0
	for _, s := range servers {
		known += min(1, s.latency.count(now))
		sum += s.latency.median(now, 0)
	}
	return sum / float64(max(1, known))
}
