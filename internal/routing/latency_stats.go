package routing

import "time"

const (
	statsWindow = 10 * time.Second // span of all latency statistics

	overdueLatencyFactor = 4 // an attempt is overdue at this multiple of its class's median latency
	// Stands in for that limit before latencies are known, as a share of the class's latency objective.
	overdueObjectiveShare = 0.4

	// Stands in for the median latency of all classes before latencies are known.
	defaultLatency = 100 * time.Millisecond
)

// latencyStats are the latencies of this coordinator's attempts that succeeded lately. Medians are in
// nanoseconds.
type latencyStats struct {
	classes     []Class
	byClass     []*slidingWindow
	all         *slidingWindow
	perUnitLoad *slidingWindow // latency over the server's load when the attempt was sent
}

func newLatencyStats(settings *Settings) *latencyStats {
	return &latencyStats{
		classes:     settings.Classes,
		byClass:     newSlidingWindows(len(settings.Classes), statsWindow),
		all:         newSlidingWindow(statsWindow),
		perUnitLoad: newSlidingWindow(statsWindow),
	}
}

// add records the latency of an attempt at a server whose load was as given when it was sent.
func (l *latencyStats) add(now time.Duration, class int, latency, load float64) {
	l.byClass[class].add(now, latency)
	l.all.add(now, latency)
	l.perUnitLoad.add(now, latency/load)
}

// classMedian is the median latency of a class, or a guess from its latency objective.
func (l *latencyStats) classMedian(now time.Duration, class int) float64 {
	objective := float64(l.classes[class].LatencyObjective)
	return l.byClass[class].median(now, overdueObjectiveShare/overdueLatencyFactor*objective)
}

// overallMedian is the median latency of all classes, or the default.
func (l *latencyStats) overallMedian(now time.Duration) float64 {
	return l.all.median(now, float64(defaultLatency))
}

// relativeWork is the work of one part of a class, relative to the median of all parts.
func (l *latencyStats) relativeWork(now time.Duration, class int) float64 {
	all := l.all.median(now, 1)
	return l.byClass[class].median(now, all) / all
}

// isOverdue tells whether an attempt has been out for much longer than its class takes.
func (l *latencyStats) isOverdue(now time.Duration, a *attempt) bool {
	return float64(now-a.sentAt) > overdueLatencyFactor*l.classMedian(now, a.part.query.classIndex)
}

// sampleInterval is the mean time between two of this coordinator's answers from one server, in nanoseconds.
func (l *latencyStats) sampleInterval(now time.Duration, servers int) float64 {
	return float64(statsWindow) * float64(servers) / float64(max(1, l.all.count(now)))
}

// meanMedianLatency is the mean of the servers' median latencies, over those that have samples; 0 if none
// has.
func meanMedianLatency(now time.Duration, servers []*server) float64 {
	known, sum := 0, 0.0
	for _, s := range servers {
		known += min(1, s.latency.count(now))
		sum += s.latency.median(now, 0)
	}
	return sum / float64(max(1, known))
}
