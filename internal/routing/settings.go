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
	NonIdempotent                        // may run once only
)

// ReportField names a value of a load report.
type ReportField uint8

// The values that a load report may hold.
const (
	FieldUnknown     ReportField = iota
	FieldInFlight                // requests in flight, waiting ones included
	FieldQueueLength             // requests waiting
	FieldUtilization             // share of the CPU in use, 0 to 1
	FieldServiceTime             // recent service time, in milliseconds
	FieldRate                    // requests served a second
	FieldErrorRate               // errors a second
)

// Class describes a class of queries.
type Class struct {
	Idempotency       Idempotency
	LatencyObjective  time.Duration // an answer within it earns the full PriorityWeight
	Deadline          time.Duration // the client's whole wait, retries included; not used by the rules
	IdempotencyWindow time.Duration // IdempotentWithKey: for how long servers drop repeats
	PriorityWeight    float64       // value of a complete answer
	LateValue         float64       // share of that value, 0 to 1, which an answer after the objective earns
	RequiredWeight    float64       // weight of parts that makes an answer complete, 0 to 1
	MinWeight         float64       // least weight of parts for any answer, 0 to 1
	PartialValue      float64       // value of an incomplete answer, 0 to 1, times weight over RequiredWeight
	FetchParts        int           // parts of a second step; queries of such a class are rejected
	Stream            bool          // the answer is a stream; queries of such a class are rejected
}

// unbounded is later than any time that the package works with.
const unbounded = 1e6 * time.Hour

// retryableUntil is the clock time until which a further attempt may be written, if a first one is sent now
// and may run. It has no meaning for NonIdempotent, for which the retry policy allows no further attempt
// then.
func (c Class) retryableUntil(now time.Duration) time.Duration {
	if c.Idempotency == IdempotentWithKey {
		return now + c.IdempotencyWindow
	}
	return unbounded
}

// Tenant describes the quota of a tenant.
type Tenant struct {
	QuotaPerSecond float64 // queries a second over all coordinators; 0: no quota
	Share          float64 // of what the fleet can serve, 0 to 1
}

// Settings are the figures of a deployment, fixed at start.
type Settings struct {
	Tick                  time.Duration // least time between two turns
	Coordinators          int           // in the fleet, this one included
	Zone                  int           // of this coordinator
	CrossZoneCost         float64       // cost of a part sent to another zone, as a share of its value
	SubscribesToEndpoints bool          // changes of the endpoint list come only after Subscribe
	WeightsAreCapacities  bool          // Endpoint.Weight is the requests that a server works on at a time
	Classes               []Class
	Tenants               []Tenant

	OverQuotaFactor float64 // value of a query beyond its tenant's quota, as a share of its value within

	Shards           int
	Cells            int           // shard s lies in the cells s to s+ReplicasPerShard-1, modulo Cells
	ReplicasPerShard int           // cells that hold a shard
	PartsPerRequest  int           // parts that may share a request to a server
	RequestCost      time.Duration // work of a request beside that of its parts; 0: none
	CachesKeys       bool          // a recently served key costs a server less

	ReportFields []ReportField // values of a load report, in order; empty: servers send none

	MaxAttempts   int           // for a part; 0: no limit
	MaxOpen       int           // queries and parts held at a time; 0: no limit
	MaxRetryAfter time.Duration // longest advice of a Reject
	Cancel        bool          // attempts may be canceled
	HealthChecks  bool          // servers may be checked
	Hedging       bool          // a part may have several attempts in flight
	RetryAfter    bool          // a Reject may carry advice

	AnswerSlack time.Duration // after a query's time, for its final answer
	PollWithin  time.Duration // after which discovery has to be polled again
	DrainGrace  time.Duration // after a drain is notified, in which attempts may still be sent

	WarmupInitialShare   float64       // capacity of a server at its start, as a share of its full capacity
	WarmupDuration       time.Duration // after which a server has its full capacity
	WarmupOverloadFactor float64       // load at which a server in slow start fails, over its capacity

	RetryBudgetWindow time.Duration // over which further attempts are counted; 0: no budget
	RetryBudgetMin    float64       // further attempts allowed in it whatever the load
	RetryBudgetRatio  float64       // further attempts allowed for each query and part that arrived in it

	MaxWriteDelay time.Duration // longest time between the decision to send an attempt and its write
}

// retryBudgetSpans are the times over which arrivals and further attempts are counted for the retry budget: 0
// where there is none. The budget holds at the time of the write, up to MaxWriteDelay after the decision: by
// then more attempts may have been counted, and arrivals forgotten.
func (s *Settings) retryBudgetSpans() (arrivals, attempts time.Duration) {
	if s.RetryBudgetWindow == 0 {
		return 0, 0
	}
	return max(0, s.RetryBudgetWindow-s.MaxWriteDelay), s.RetryBudgetWindow + s.MaxWriteDelay
}

// SettingsError says which setting no router can work with.
type SettingsError struct {
	Setting string // as in Settings
	Problem string
}

// Error names the setting and the problem.
func (e *SettingsError) Error() string { return fmt.Sprintf("routing: %s: %s", e.Setting, e.Problem) }

// check returns a *SettingsError for settings that no router can work with.
func (s *Settings) check() error {
	if s.Shards <= 0 || s.Cells <= 0 || s.ReplicasPerShard <= 0 || s.ReplicasPerShard > s.Cells {
		return &SettingsError{"Shards, Cells, ReplicasPerShard",
			fmt.Sprintf("%d shards with %d replicas each do not fit %d cells",
				s.Shards, s.ReplicasPerShard, s.Cells)}
	}
	if len(s.Classes) == 0 {
		return &SettingsError{"Classes", "there is none"}
	}
	if s.Coordinators <= 0 {
		return &SettingsError{"Coordinators", fmt.Sprintf("%d is not a fleet", s.Coordinators)}
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.RequiredWeight <= 0 {
			return &SettingsError{fmt.Sprintf("Classes[%d]", i),
				"LatencyObjective, Deadline and RequiredWeight have to be above 0"}
		}
	}
	return nil
}
