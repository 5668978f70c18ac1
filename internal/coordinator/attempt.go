package coordinator

import (
	"sync/atomic"
	"time"

	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
)

// AttemptID identifies one attempt.
type AttemptID struct {
	Part routing.RequestID
	No   int // 0 for the part's first attempt
}

// Attempt is one attempt at a part, in the form in which transports receive it.
type Attempt struct {
	ID          AttemptID
	Query       string // the query's name, given by the client
	Collection  string
	Shard       int
	Payload     []byte
	Body        Body          // takes the place of Payload; nil if there is none
	Deadline    time.Duration // the query's deadline on the clock of Core.Now; from this time nothing may be written
	WriteBefore time.Duration // end of the idempotency window on the same clock, with the same effect; 0 means no limit
	AtMostOnce  bool          // the part must not run twice
	Request     *ShardRequest // nil if the shard map is fixed
	ended       *atomic.Bool  // set by the core; nil is read as false
	shardMoved  *atomic.Bool  // set by the core; nil is read as false
}

// ShardMoved reports whether the part's shard has moved away from the server. It is safe for concurrent use.
func (a Attempt) ShardMoved() bool { return a.shardMoved != nil && a.shardMoved.Load() }

// Expired reports whether the attempt may no longer be written. now is on the clock of Core.Now.
func (a Attempt) Expired(now time.Duration) bool {
	return now >= a.Deadline || a.WriteBefore > 0 && now >= a.WriteBefore
}

// Canceled reports whether the attempt or its query has ended. It is safe for concurrent use.
func (a Attempt) Canceled() bool { return a.ended != nil && a.ended.Load() }

// Transports send attempts and health checks to servers. The methods are called on the core's goroutine, so that none
// may block or post to the core. Send and CheckHealth return false if the transport's queue is full; the core then
// ends the attempts or the health check itself. The transport reports the end of each accepted attempt with
// Core.AttemptEnded and that of each accepted health check with Core.HealthCheckEnded.
type Transports interface {
	UpdateEndpoints(EndpointUpdate)
	Send(routing.ServerID, []Attempt) bool
	// Cancel cancels an attempt whose result is no longer needed.
	Cancel(routing.ServerID, AttemptID)
	CheckHealth(server routing.ServerID, number uint64) bool
	// AbandonHealthCheck says that the result of a health check is no longer needed.
	AbandonHealthCheck(server routing.ServerID, number uint64)
}

// Result is how an attempt or a health check ended.
type Result struct {
	Outcome         outcome.Outcome
	LoadReport      []float64 // the server's load values in the order of Settings.ReportFields; nil if it sent none
	Value           []byte
	Score           float64
	Hits            *Hits           // nil if the server answered with a plain value
	ShardMapVersion uint64          // the server's version; 0 if it does not say
	Covers          *shardmap.Range // the keys that the value covers; nil if the server does not say
	At              time.Duration   // when the outcome was known, on the clock of Core.Now
}
