// Package linkpass decides, for one front node, what a query router does in
// front of a sharded, replicated store. This file is its whole interface: the
// settings, the events that go in, the actions that come out. The decisions
// are in router.go.
//
// A Router is single-threaded, reads no clock and starts no goroutine: the
// caller hands it one turn at a time and carries out the actions it returns.
package routing

import (
	"fmt"
	"time"
)

// ServerID names a server. It carries no meaning beyond identity and order.
type ServerID uint64

// RequestID names a query or one of its parts.
type RequestID uint64

// Idempotency says what repeating a part of a class may do.
type Idempotency uint8

// The kinds of effect.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are dropped within the class's window
	NonIdempotent                        // may run once only
)

// ReportField names a value of a load report.
type ReportField uint8

// The values a load report may hold.
const (
	FieldUnknown     ReportField = iota
	FieldInFlight                // requests in hand
	FieldQueueLength             // requests waiting
	FieldUtilization             // share of CPU in use
	FieldServiceTime             // recent service time, milliseconds
	FieldRate                    // requests served a second
	FieldErrorRate               // errors a second
)

// Class describes one class of query.
type Class struct {
	Idempotency       Idempotency
	LatencyObjective  time.Duration // an answer within this earns full worth
	Deadline          time.Duration // the client's whole wait, all tries together
	IdempotencyWindow time.Duration // keyed: repeats are dropped for this long
	PriorityWeight    float64       // of a whole answer
	LateValue         float64       // share of worth earned after the aim
	RequiredWeight    float64       // weight of parts that makes an answer whole
	MinWeight         float64       // least weight of parts for any answer
	PartialValue      float64       // what an answer not marked whole earns, times share over need
	FetchParts        int           // parts of a second step: such queries are refused
	Stream            bool          // the same
}

// forever is further off than any time that the module works with.
const forever = 1e6 * time.Hour

// repeatable is until when a further attempt may be written, if a first one that may have run is sent now.
func (c Class) repeatable(now time.Duration) time.Duration {
	if c.Idempotency == IdempotentWithKey {
		return now + c.IdempotencyWindow
	}
	return forever
}

// Tenant describes one tenant's share.
type Tenant struct {
	QuotaPerSecond float64 // over all front nodes
	Share          float64
}

// Settings are the deployment's figures, as given at start.
type Settings struct {
	Tick                  time.Duration // least gap between turns
	Coordinators          int           // front nodes, this one included
	Zone                  int           // zone of this front node
	CrossZoneCost         float64       // what a part that goes to another zone costs, as a share of its worth
	SubscribesToEndpoints bool          // changes to the list arrive only when asked for
	WeightsAreCapacities  bool          // server weights state their size
	Classes               []Class
	Tenants               []Tenant

	OverQuotaFactor float64 // worth of a query beyond its tenant's share

	Shards           int
	Cells            int           // shard s is held by cells s..s+Reach-1, modulo Cells
	ReplicasPerShard int           //
	PartsPerRequest  int           // parts that may share a call
	RequestCost      time.Duration // work of a call beside that of its parts
	CachesKeys       bool          // a recently served key costs less

	ReportFields []ReportField

	MaxAttempts   int // for one part
	MaxOpen       int // queries and parts held
	MaxRetryAfter time.Duration
	Cancel        bool
	HealthChecks  bool
	Hedging       bool
	RetryAfter    bool

	AnswerSlack time.Duration
	PollWithin  time.Duration
	DrainGrace  time.Duration

	WarmupInitialShare   float64       // least share of capacity at start
	WarmupDuration       time.Duration // warm after this at the latest
	WarmupOverloadFactor float64       // a cold server falls over past this multiple of capacity

	RetryBudgetWindow time.Duration // 0: no budget of further attempts
	RetryBudgetMin    float64
	RetryBudgetRatio  float64

	MaxWriteDelay time.Duration // an attempt may be written so long after it is decided
}

// budgetSpans are the times over which queries taken and further attempts are counted for the budget. Attempts
// count when they are written, and that may be WriteLag later: by then more may be behind them, and queries forgotten. Both are 0
// where there is no budget.
func (s Settings) budgetSpans() (taken, further time.Duration) {
	if s.RetryBudgetWindow == 0 {
		return 0, 0
	}
	return max(0, s.RetryBudgetWindow-s.MaxWriteDelay), s.RetryBudgetWindow + s.MaxWriteDelay
}

// Event is something the front node learned.
type Event interface{ event() }

// EndpointState is what the list says of a server.
type EndpointState uint8

// The states of a listed server.
const (
	Draining EndpointState = iota
	Ready
	Removed
)

// Endpoint is one line of the server list.
type Endpoint struct {
	Server    ServerID
	Zone      int
	Kind      int
	Cell      int
	State     EndpointState
	Weight    float64
	StartedAt time.Duration // clock time of its last start; 0: long past
}

// UpdateMode says how a ListUpdate is to be read.
type UpdateMode uint8

// The modes of a ListUpdate.
const (
	UpdateDelta  UpdateMode = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last held, maybe outdated
	UpdateFailed                   // a call failed or the subscription broke
)

// EndpointUpdate is discovery's news.
type EndpointUpdate struct {
	Mode      UpdateMode
	Endpoints []Endpoint
}

// Arrival is a new query (Shard below 0) or, after its query and in the same
// turn, one of its parts.
type Arrival struct {
	ID           RequestID
	Shard        int
	Timeout      time.Duration // until the client abandons this try
	Class        int
	IsRetry      bool          // the client says that it asks again
	ExpectedWork time.Duration // expected work; 0: unknown
	Key          uint64        // 0: none
	Weight       float64       // parts of the first step, or the part's weight
	QueryNumber  uint64        // number that ties parts to their query
	Tenant       int
}

// Code is how an attempt or a probe ended.
type Code uint8

// The outcome codes.
const (
	OK            Code = iota
	ServerError        // may have run
	Overloaded         // never ran
	TimedOut           // may have run
	ConnectFailed      // never ran
	ConnReset          // may have run
	Canceled           // may have run
	NotSent            // never sent
	ShardMoved         // never ran: the shard has moved; Replaced follows in the same turn
)

// StreamStarted says that a stream's answer has begun; the router serves none.
type StreamStarted struct {
	ID      RequestID
	Attempt int
}

// AttemptResult closes an attempt.
type AttemptResult struct {
	ID         RequestID
	Attempt    int
	Server     ServerID
	Code       Code
	Latency    time.Duration
	Final      bool
	LoadReport []float64 // in the order of Settings.ReportFields; empty: none
}

// ClientDisconnected says that the client of a query has left.
type ClientDisconnected struct{ ID RequestID }

// TimerFired is a timer that has fallen due.
type TimerFired struct{ Token uint64 }

// HealthCheckResult answers a Probe.
type HealthCheckResult struct {
	Server     ServerID
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// CapacityChange says that the node may hold so many queries and parts from now on: another
// process of it holds the rest.
type CapacityChange struct{ MaxOpen int }

// WarmUp says that the node is to know its servers before clients come.
type WarmUp struct{}

// ShardPlacement names the replicas of a shard, in place of what its cells say; none: it has gone.
type ShardPlacement struct {
	Shard   int
	Servers []ServerID
}

// PartsReplaced says that parts of an open query, whose shards have moved, give way to others
// that ask for the same. These arrive with it, at shards that were placed. They are admitted
// with their query and begin with the attempts that may count against them: the most of
// any part that gives way, less the last, which came to nothing because of the move.
type PartsReplaced struct {
	IDs            []RequestID
	Parts          []Arrival
	ReceivedWeight float64 // weight that is in of the parts that give way: a piece was answered
}

// BodyEvicted says that a part's body cannot be sent again: no attempt of it can be made any more.
type BodyEvicted struct{ ID RequestID }

// GossipMessage is a message from another front node. The router sends none and
// reads none; hosts may pass it on all the same.
type GossipMessage struct {
	From int
	Data []byte
}

func (EndpointUpdate) event()     {}
func (Arrival) event()            {}
func (StreamStarted) event()      {}
func (AttemptResult) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (HealthCheckResult) event()  {}
func (CapacityChange) event()     {}
func (WarmUp) event()             {}
func (ShardPlacement) event()     {}
func (PartsReplaced) event()      {}
func (BodyEvicted) event()        {}
func (GossipMessage) event()      {}

// Action is something the front node is to do, in the order returned.
type Action interface{ action() }

// Send opens the part's next attempt.
type Send struct {
	ID          RequestID
	Server      ServerID
	Timeout     time.Duration // 0: until the client's time is up
	WriteBefore time.Duration // by the clock of the turns: not to be written from then on
}

// Cancel abandons the wait for one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject ends a query; asking again is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail ends a query with no promise about its effect.
type Fail struct{ ID RequestID }

// Answer merges the parts that are in; it ends the query.
type Answer struct {
	ID       RequestID
	Complete bool
}

// SetTimer asks for an Alarm.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// HealthCheck asks a server for a sign of life and its load report.
type HealthCheck struct{ Server ServerID }

// Subscribe asks discovery for changes from now on.
type Subscribe struct{}

func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Answer) action()      {}
func (SetTimer) action()    {}
func (HealthCheck) action() {}
func (Subscribe) action()   {}

// check refuses settings that no router can work with.
func (s *Settings) check() error {
	if s.Shards <= 0 || s.Cells <= 0 || s.ReplicasPerShard <= 0 || s.ReplicasPerShard > s.Cells {
		return fmt.Errorf("linkpass: layout of %d shards in %d cells with reach %d is unusable",
			s.Shards, s.Cells, s.ReplicasPerShard)
	}
	if len(s.Classes) == 0 || s.Coordinators <= 0 {
		return fmt.Errorf("linkpass: %d classes and %d front nodes are unusable", len(s.Classes), s.Coordinators)
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.RequiredWeight <= 0 {
			return fmt.Errorf("linkpass: class %d lacks an aim, a deadline or a need", i)
		}
	}
	return nil
}
