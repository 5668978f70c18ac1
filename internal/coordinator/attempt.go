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
	No   int // of the part's attempts, from 0 on
}

// Attempt is one attempt at a part, as a transport is to send it.
type Attempt struct {
	ID          AttemptID
	Query       string // the client's name for the query
	Collection  string
	Shard       int
	Payload     []byte
	Body        Body          // in place of Payload; nil: none
	Deadline    time.Duration // by Core.Now: nothing may be written from then on
	WriteBefore time.Duration // the same, for the end of the idempotency window; 0: no such limit
	Request     *ShardRequest // nil: the shard map is fixed
	ended       *atomic.Bool
	shardMoved  *atomic.Bool
}

// ShardMoved tells whether the part's shard has left the server. It is safe for concurrent use.
func (a Attempt) ShardMoved() bool { return a.shardMoved != nil && a.shardMoved.Load() }

// Expired tells whether it is too late, by Core.Now, to write the attempt.
func (a Attempt) Expired(now time.Duration) bool {
	return now >= a.Deadline || a.WriteBefore > 0 && now >= a.WriteBefore
}

// Canceled tells whether the attempt or its query has ended. It is safe for concurrent use.
func (a Attempt) Canceled() bool { return a.ended != nil && a.ended.Load() }

// Transports carry attempts and health checks to servers. They are called on the core's goroutine: no call may block or
// post to the core. Send and CheckHealth return false if the transport's queue is full; the core then ends the attempts
// or the health check itself. What was accepted ends by Core.AttemptEnded or Core.HealthCheckEnded.
type Transports interface {
	UpdateEndpoints(EndpointUpdate)
	Send(routing.ServerID, []Attempt) bool
	// Cancel says that nobody waits for the attempt any more.
	Cancel(routing.ServerID, AttemptID)
	CheckHealth(server routing.ServerID, number uint64) bool
	// AbandonHealthCheck says that nobody waits for the health check any more.
	AbandonHealthCheck(server routing.ServerID, number uint64)
}

// Result is how an attempt or a health check ended at a server.
type Result struct {
	Outcome         outcome.Outcome
	LoadReport      []float64 // the server's fields, in the order of Settings.ReportFields; nil: none
	Value           []byte
	Score           float64
	Hits            *Hits           // nil where the server answered with a plain value
	ShardMapVersion uint64          // that the server has; 0: it does not say
	Covers          *shardmap.Range // the keys that the value covers; nil: the server does not say
	At              time.Duration   // by Core.Now: when the outcome was known
}
