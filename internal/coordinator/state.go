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
	id           routing.RequestID
	openedAt     time.Duration // when the core took the query out of its mailbox
	deadline     time.Duration // end of the client's timeout on the clock of Core.Now
	parts        []*part
	overdueTimer *deadline.Entry // fails the query if the router has not ended it
	number       uint64          // QueryNumber of the router's events, which groups the parts of a query
	unsentParts  int             // parts that are yet to be written
	bodyEvicted  bool            // Body can no longer be read, so no part can be sent
	// unanswerableAt is the latest time at which a part of the query became unanswerable: its body was evicted and it
	// had no attempt in flight. 0 if no part is unanswerable.
	unanswerableAt time.Duration

	collection     *collection       // nil if the shard map is fixed
	planned        *shardmap.Map     // the version on which the query was first planned
	coverage       *coverage.Tracker // records which of the requested keys were answered
	subrangeValues []Value           // answers that covered a subrange of a part, which was then replaced
}

// part is a part of an open query. It outlives the query, or its own replacement, while its attempts are in flight.
type part struct {
	Part
	id          routing.RequestID
	query       *query
	attempts    int // sent so far
	inFlight    int // attempts that have not ended
	answered    bool
	replaced    bool            // by other parts, or dropped without a replacement
	unsent      bool            // waiting to be written, for the first time or again; counted in query.unsentParts
	failed      bool            // at least once, it had no attempt in flight that could answer it
	value       Value           // valid if answered
	lastOutcome outcome.Outcome // of the latest attempt that ended before the part was answered
}

// needsAnswer reports whether the part still needs an answer.
func (p *part) needsAnswer() bool { return !p.answered && !p.replaced }

// attempt is an attempt that has not ended. Transports read its two flags from their own goroutines.
type attempt struct {
	id         AttemptID
	part       *part
	server     routing.ServerID
	sentAt     time.Duration
	timeout    *deadline.Entry
	ended      atomic.Bool // the attempt or its query has ended
	shardMoved atomic.Bool // the part's shard has moved away from the server
}

// healthCheck is a health check that has not ended.
type healthCheck struct {
	server  routing.ServerID
	sentAt  time.Duration
	timeout *deadline.Entry
}

// batch holds the attempts of one turn that are sent to a server in one request.
type batch struct {
	server   routing.ServerID
	attempts []Attempt
}
