package routing

import (
	"fmt"
	"time"
)

// Idempotency says whether a part of a class may be run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated at any time
	IdempotentWithKey                    // servers drop repeats within Class.IdempotencyWindow
	NonIdempotent                        // must run at most once
)

// ReportField identifies a value in a load report.
type ReportField uint8

// The values that a load report may hold.
const (
	FieldUnknown     ReportField = iota // a value that the router does not use
	FieldInFlight                       // requests in flight, waiting ones included
	FieldQueueLength                    // requests waiting
	FieldUtilization                    // share of the CPU in use, 0 to 1
	FieldServiceTime                    // recent service time, in milliseconds
	FieldRate                           // requests served per second
	FieldErrorRate                      // errors per second
)

// Class describes a class of queries.
type Class struct {
	Idempotency       Idempotency
	LatencyObjective  time.Duration // an answer within it has the full value PriorityWeight
	Deadline          time.Duration // the client's total wait, retries included; not used by the rules
	IdempotencyWindow time.Duration // IdempotentWithKey: time for which servers drop repeats
	PriorityWeight    float64       // value of a complete answer
	LateValue         float64       // share of that value, 0 to 1, of an answer after the objective
	RequiredWeight    float64       // weight of parts that makes an answer complete, 0 to 1
	MinWeight         float64       // lowest weight of parts for any answer, 0 to 1
	PartialValue      float64       // value of an incomplete answer, 0 to 1, times weight over RequiredWeight
	FetchParts        int           // parts of a second step; queries of such a class are rejected
	Stream            bool          // the answer is a stream; queries of such a class are rejected
}

// unbounded is a clock time later than any that occurs.
const unbounded = 1e6 * time.Hour

// retryableUntil returns the clock time until which a further attempt may be written, if the first attempt is
// sent now and may have been executed. The result is not used for NonIdempotent, as the retry policy allows
// no further attempt in that case.
func (c Class) retryableUntil(now time.Duration) time.Duration {
	if c.Idempotency == IdempotentWithKey {
		return now + c.IdempotencyWindow
	}
	return unbounded
}

// Tenant describes the quota of a tenant.
type Tenant struct {
	QuotaPerSecond float64 // queries per second over all coordinators; 0: no quota
	Share          float64 // share of the fleet's capacity, 0 to 1; not used by the rules
}

// Settings configure a Router. They are fixed at start.
type Settings struct {
	Tick                  time.Duration // shortest time between two turns
	Coordinators          int           // in the fleet, this one included
	Zone                  int           // of this coordinator
	CrossZoneCost         float64       // cost of a part sent to another zone, as a share of its value
	SubscribesToEndpoints bool          // changes of the endpoint list come only after Subscribe
	WeightsAreCapacities  bool          // Endpoint.Weight is the number of requests a server serves at a time
	Classes               []Class
	Tenants               []Tenant

	OverQuotaFactor float64 // factor on the value of a query beyond its tenant's quota

	Shards           int
	Cells            int           // shard s is in the cells s to s+ReplicasPerShard-1, modulo Cells
	ReplicasPerShard int           // number of cells that hold a shard
	PartsPerRequest  int           // number of parts that may share a request to a server
	RequestCost      time.Duration // overhead of a request in addition to the work of its parts; 0: none
	CachesKeys       bool          // recently served keys cost a server less; not used by the rules

	ReportFields []ReportField // values of a load report, in order; empty: servers send none

	MaxAttempts   int           // for a part; 0: no limit
	MaxOpen       int           // open queries plus parts at a time; 0: no limit
	MaxRetryAfter time.Duration // upper bound of Reject.RetryAfter
	Cancel        bool          // the router may cancel attempts
	HealthChecks  bool          // the router may send health checks
	Hedging       bool          // a part may have several attempts in flight
	RetryAfter    bool          // the router may set Reject.RetryAfter

	// The rules of this package do not use the next three.
	AnswerSlack time.Duration // time after a query's timeout within which its final answer is due
	PollWithin  time.Duration // longest time between two polls of discovery
	DrainGrace  time.Duration // time after the notice of a drain in which attempts may still be sent

	WarmupInitialShare   float64       // capacity of a server at its start, as a share of its full capacity
	WarmupDuration       time.Duration // time from its start after which a server has its full capacity
	WarmupOverloadFactor float64       // load at which a server that warms up fails, relative to its capacity

	RetryBudgetWindow time.Duration // window in which further attempts are counted; 0: no budget
	RetryBudgetMin    float64       // further attempts allowed per window regardless of the load
	RetryBudgetRatio  float64       // further attempts allowed per query and part that arrived in the window

	MaxWriteDelay time.Duration // longest time from the decision to send an attempt to its write
}

// retryBudgetSpans returns the spans over which arrivals and further attempts are counted for the retry
// budget, 0 if there is no budget. An attempt may be written up to MaxWriteDelay after the decision, and the
// budget has to hold at that time too: by then more attempts may have been counted, and arrivals dropped from
// the window. So the span of arrivals is shorter, and that of attempts longer, by MaxWriteDelay.
func (s *Settings) retryBudgetSpans() (arrivals, attempts time.Duration) {
	if s.RetryBudgetWindow == 0 {
		return 0, 0
	}
	return max(0, s.RetryBudgetWindow-s.MaxWriteDelay), s.RetryBudgetWindow + s.MaxWriteDelay
}

// SettingsError reports an invalid setting.
type SettingsError struct {
	Setting string // name of the field of Settings, or the names of several
	Problem string // what is wrong with it
}

// Error returns the setting and the problem in one line.
func (e *SettingsError) Error() string { return fmt.Sprintf("routing: %s: %s", e.Setting, e.Problem) }

// check returns a *SettingsError for the first invalid setting, or nil.
func (s *Settings) check() error {
	if s.Shards <= 0 || s.Cells <= 0 || s.ReplicasPerShard <= 0 || s.ReplicasPerShard > s.Cells {
		return &SettingsError{"Shards, Cells, ReplicasPerShard",
			fmt.Sprintf("all must be positive, replicas <= cells: got %d shards, %d replicas, %d cells",
				s.Shards, s.ReplicasPerShard, s.Cells)}
	}
	if len(s.Classes) == 0 {
		return &SettingsError{"Classes", "no class is defined"}
	}
	if s.Coordinators <= 0 {
		return &SettingsError{"Coordinators", fmt.Sprintf("must be at least 1, got %d", s.Coordinators)}
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.RequiredWeight <= 0 {
			return &SettingsError{fmt.Sprintf("Classes[%d]", i),
				"LatencyObjective, Deadline and RequiredWeight must be greater than 0"}
		}
	}
	return nil
}
