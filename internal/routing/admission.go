package routing

import (
	"math"
	"time"
)

const (
	// Highest mean forecast latency of a query's parts, as a share of the latency objective.
	admittedLatencyShare = 0.5

	// The same limit while the coordinator is overloaded, or when hedging is off: a late attempt without a
	// hedge delays the work that follows it. It is divided by 1 + ln n: the slowest of n parts takes that
	// many times the mean.
	strictLatencyShare = 0.9

	// Highest forecast latency of a query's slowest part, as a share of the latency objective.
	admittedWorstLatencyShare = 0.65

	// Time for which the coordinator counts as overloaded after it rejects a query for lack of capacity, as a
	// multiple of the latency objective.
	overloadedPeriodObjectives = 0.5

	// Bounds of the factor by which the value of a query per unit of work scales its latency limit.
	minValueFactor, maxValueFactor = 0.4, 1.3

	// Age above which a load report that led to a rejection is requested again, as a multiple of the median
	// latency.
	staleReportLatencies = 5
)

// admissionControl decides once for each new query whether to admit or reject it.
type admissionControl struct {
	settings   *Settings
	queries    *queryIndex
	latencies  *latencyStats
	quotas     *tenantQuota
	forecaster *forecaster

	maxOpen       int            // open queries plus parts at a time; 0: no limit
	valuesPerWork *slidingWindow // value per unit of work of the queries that arrived
	overloadedAt  time.Duration  // when a query was last rejected for lack of capacity
}

func newAdmissionControl(settings *Settings, queries *queryIndex, forecaster *forecaster) *admissionControl {
	return &admissionControl{
		settings:      settings,
		queries:       queries,
		latencies:     forecaster.latencies,
		quotas:        newTenantQuota(settings),
		forecaster:    forecaster,
		maxOpen:       settings.MaxOpen,
		valuesPerWork: newSlidingWindow(statsWindow),
		overloadedAt:  math.MinInt64 / 2,
	}
}

// rejection is the advice for the client of a rejected query, and the load reports that led to the rejection.
type rejection struct {
	retryAfter   time.Duration
	reportMaxAge time.Duration // a report of slowReplicas that is older is requested again
	slowReplicas []*server     // the servers whose load reports led to the rejection
}

// decide admits a new query or returns its rejection.
func (c *admissionControl) decide(now time.Duration, q *query) (admitted bool, r rejection) {
	value := c.valuePerWork(now, q)
	limit := c.latencyLimit(now, q, value)
	expected := c.forecaster.query(now, q, limit/2)
	full := c.isFull()
	tooSlow := expected.mean > limit
	worstTooSlow := expected.worst > admittedWorstLatencyShare*float64(q.class.LatencyObjective)
	unsupported := len(q.parts) == 0 || q.class.FetchParts > 0 || q.class.Stream
	if !full && !tooSlow && !worstTooSlow && !unsupported {
		return true, rejection{}
	}
	// A single shard that is overloaded or has no replica does not make the coordinator overloaded.
	meanOfOthers := expected.mean - expected.worst/float64(len(q.parts))
	onlyWorstTooSlow := worstTooSlow && meanOfOthers <= limit
	if full || tooSlow && !onlyWorstTooSlow {
		c.overloadedAt = now
	}
	return false, rejection{
		retryAfter:   time.Duration(max(expected.mean-limit, admittedLatencyShare*limit)),
		reportMaxAge: time.Duration(staleReportLatencies * c.latencies.classMedian(now, q.classIndex)),
		slowReplicas: expected.slow,
	}
}

// isFull reports whether the open queries and parts, the new query included, exceed maxOpen. The limit bounds
// the coordinator's memory.
func (c *admissionControl) isFull() bool { return c.maxOpen > 0 && c.queries.size() > c.maxOpen }

// latencyLimit returns the highest mean forecast latency, in nanoseconds, at which a query is admitted. The
// limit is higher for a query with more value per unit of work than the median query.
func (c *admissionControl) latencyLimit(now time.Duration, q *query, value float64) float64 {
	limit := float64(min(q.class.LatencyObjective, q.timeout))
	if c.settings.Hedging && !c.isOverloaded(now, q.class) {
		limit *= admittedLatencyShare
	} else {
		limit *= strictLatencyShare / (1 + math.Log(float64(max(1, len(q.parts)))))
	}
	return limit * max(minValueFactor, min(maxValueFactor, value/c.valuesPerWork.median(now, value)))
}

// valuePerWork returns the value of a query per unit of work: the priority weight of its class, divided by
// the work of its parts relative to the median part. A query beyond its tenant's quota is worth less. The
// call counts the query as an arrival, so it has to be made once per query.
func (c *admissionControl) valuePerWork(now time.Duration, q *query) float64 {
	weight := q.class.PriorityWeight
	if c.quotas.countArrival(now, q.tenant) {
		weight *= c.settings.OverQuotaFactor
	}
	value := weight / (c.latencies.relativeWork(now, q.classIndex) * float64(max(1, len(q.parts))))
	c.valuesPerWork.add(now, value)
	return value
}

// isOverloaded reports whether a query was rejected for lack of capacity within the last
// overloadedPeriodObjectives latency objectives of the class.
func (c *admissionControl) isOverloaded(now time.Duration, class *Class) bool {
	return now < c.overloadedAt+time.Duration(overloadedPeriodObjectives*float64(class.LatencyObjective))
}

// wasRecentlyOverloaded reports whether a query was rejected for lack of capacity within the last
// statsWindow.
func (c *admissionControl) wasRecentlyOverloaded(now time.Duration) bool {
	return now <= c.overloadedAt+statsWindow
}
