package routing

import (
	"math"
	"time"
)

const (
	// Share of the latency objective that a query's parts may be forecast to take on average.
	admittedLatencyShare = 0.5

	// The same while the coordinator sheds load, and where a part may have one attempt in flight only, as
	// what is late there delays what follows. It is divided by 1 + ln n: the slowest of n parts takes so many
	// times the mean.
	strictLatencyShare = 0.9

	// Share of the latency objective that the slowest part may be forecast to take.
	admittedWorstShare = 0.65

	// For so many latency objectives after a rejection for want of capacity the coordinator counts as
	// overloaded.
	overloadedObjectives = 0.5

	// Bounds how far the value of a query for its work moves the limit.
	minValueFactor, maxValueFactor = 0.4, 1.3

	// Age of a load report, in median latencies, from which on a rejection that rests on it asks for a new
	// one.
	staleReportLatencies = 5
)

// admissionControl decides once on each new query whether it is served or rejected.
type admissionControl struct {
	settings   *Settings
	queries    *queryIndex
	latencies  *latencyStats
	quotas     *tenantQuota
	forecaster *forecaster

	maxOpen      int            // queries and parts held at a time; 0: no limit
	values       *slidingWindow // value for work of the queries that arrived
	overloadedAt time.Duration  // when a query was last rejected for want of capacity
}

func newAdmissionControl(settings *Settings, queries *queryIndex, forecaster *forecaster) *admissionControl {
	return &admissionControl{
		settings:     settings,
		queries:      queries,
		latencies:    forecaster.latencies,
		quotas:       newTenantQuota(settings),
		forecaster:   forecaster,
		maxOpen:      settings.MaxOpen,
		values:       newSlidingWindow(statsWindow),
		overloadedAt: math.MinInt64 / 2,
	}
}

// rejection says why and how a query is rejected.
type rejection struct {
	retryAfter   time.Duration
	reportMaxAge time.Duration // reports that the decision rests on are asked for anew past this age
	slowReplicas []*server     // those reports' servers
}

// decide admits a new query, or returns its rejection.
func (c *admissionControl) decide(now time.Duration, q *query) (admitted bool, r rejection) {
	value := c.value(now, q)
	limit := c.latencyLimit(now, q, value)
	expected := c.forecaster.query(now, q, limit/2)
	full := c.isFull()
	tooSlow := expected.mean > limit
	worstTooSlow := expected.worst > admittedWorstShare*float64(q.class.LatencyObjective)
	unsupported := len(q.parts) == 0 || q.class.FetchParts > 0 || q.class.Stream
	if !full && !tooSlow && !worstTooSlow && !unsupported {
		return true, rejection{}
	}
	// One shard that is overloaded or has no replica says nothing about the others.
	meanOfOthers := expected.mean - expected.worst/float64(len(q.parts))
	oneShard := worstTooSlow && meanOfOthers <= limit
	if full || tooSlow && !oneShard {
		c.overloadedAt = now
	}
	return false, rejection{
		retryAfter:   time.Duration(max(expected.mean-limit, admittedLatencyShare*limit)),
		reportMaxAge: time.Duration(staleReportLatencies * c.latencies.classMedian(now, q.classIndex)),
		slowReplicas: expected.slow,
	}
}

// isFull guards the memory of the coordinator: the queries and parts held, this query's included, are over
// the limit.
func (c *admissionControl) isFull() bool { return c.maxOpen > 0 && c.queries.size() > c.maxOpen }

// latencyLimit is how long the parts of a query may be forecast to take on average, in nanoseconds. A query
// of more value for its work than others may take longer.
func (c *admissionControl) latencyLimit(now time.Duration, q *query, value float64) float64 {
	limit := float64(min(q.class.LatencyObjective, q.timeout))
	if c.settings.Hedging && !c.isOverloaded(now, q.class) {
		limit *= admittedLatencyShare
	} else {
		limit *= strictLatencyShare / (1 + math.Log(float64(max(1, len(q.parts)))))
	}
	return limit * max(minValueFactor, min(maxValueFactor, value/c.values.median(now, value)))
}

// value is what a query is worth for its work: its class's priority weight over the work of its parts,
// relative to the median part. Beyond its tenant's quota it is worth less.
func (c *admissionControl) value(now time.Duration, q *query) float64 {
	weight := q.class.PriorityWeight
	if c.quotas.countArrival(now, q.tenant) {
		weight *= c.settings.OverQuotaFactor
	}
	value := weight / (c.latencies.relativeWork(now, q.classIndex) * float64(max(1, len(q.parts))))
	c.values.add(now, value)
	return value
}

// isOverloaded tells whether queries were rejected for want of capacity a short while ago, by a class's
// measure.
func (c *admissionControl) isOverloaded(now time.Duration, class *Class) bool {
	return now < c.overloadedAt+time.Duration(overloadedObjectives*float64(class.LatencyObjective))
}

// wasOverloaded tells whether queries were rejected for want of capacity within the window of the statistics.
func (c *admissionControl) wasOverloaded(now time.Duration) bool {
	return now <= c.overloadedAt+statsWindow
}
