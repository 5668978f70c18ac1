package coordinator

import (
	"sync/atomic"
	"time"

	"linkpass/internal/deadline"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/coverage"
)

// query is an open query.
type query struct {
	Query
	id          routing.RequestID
	deadline    time.Duration // by Core.Now: the client's timeout has passed
	parts       []*part
	overdue     *deadline.Entry
	number      uint64 // by which the router knows that parts are of one query
	unsentParts int    // parts that are yet to be written
	bodyEvicted bool
	// unanswerableAt is when the latest part that cannot be answered without the evicted body lost its last attempt;
	// 0: no part has.
	unanswerableAt time.Duration

	collection *collection       // nil: the shard map is fixed
	planned    *shardmap.Map     // the version that the query was planned on
	coverage   *coverage.Tracker // of the keys that the query requests
	subValues  []Value           // answers to a subrange of a part that was replaced afterwards
}

// part is a part of an open query, or of one that was answered while the part's attempts are in flight.
type part struct {
	Part
	id          routing.RequestID
	query       *query
	attempts    int // sent so far
	inFlight    int // attempts that have not ended
	answered    bool
	replaced    bool // by other parts, or by none
	unsent      bool // it is to be written, or again
	failed      bool // it had no attempt in flight that could answer it, at least once
	value       Value
	lastOutcome outcome.Outcome
}

// isPending tells whether the part still needs an answer.
func (p *part) isPending() bool { return !p.answered && !p.replaced }

// attempt is an attempt that has not ended. Transports read its two flags.
type attempt struct {
	id         AttemptID
	part       *part
	server     routing.ServerID
	sentAt     time.Duration
	timeout    *deadline.Entry
	ended      atomic.Bool // it or its query has ended
	shardMoved atomic.Bool // its shard has left the server
}

// healthCheck is a health check that has not ended.
type healthCheck struct {
	server  routing.ServerID
	sentAt  time.Duration
	timeout *deadline.Entry
}

// batch is the attempts of one turn that go to a server in one request.
type batch struct {
	server   routing.ServerID
	attempts []Attempt
}
