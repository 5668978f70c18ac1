package routing

import (
	"slices"
	"time"
)

// query is one open query.
type query struct {
	id         RequestID
	number     uint64 // ties its parts to it
	classIndex int
	class      *Class
	tenant     int

	arrivedAt time.Duration
	timeout   time.Duration // of its client, from arrivedAt on
	endsAt    time.Duration // arrivedAt + timeout

	parts          []*part
	receivedWeight float64 // answered by subranges of parts that were replaced
	isNew          bool    // admission has not decided yet
	ended          bool
}

// partState is how far a part has got.
type partState uint8

const (
	// partWaiting: it is to be sent, or sent again, to a replica that is not chosen yet. A hedge waits while
	// earlier attempts are in flight.
	partWaiting partState = iota
	// partInFlight: it has at least one attempt in flight, and none is to be added.
	partInFlight
	// partAnswered: an attempt succeeded.
	partAnswered
	// partFailed: no attempt is in flight, and none may follow.
	partFailed
	// partWithdrawn: its query has ended, or another part took its place.
	partWithdrawn
)

// String is the state's name for logs and tests.
func (s partState) String() string {
	return [...]string{
		partWaiting: "waiting", partInFlight: "in flight", partAnswered: "answered", partFailed: "failed",
		partWithdrawn: "withdrawn",
	}[s]
}

// part is one part of a query.
type part struct {
	id     RequestID
	query  *query
	shard  int
	weight float64
	state  partState

	servers                 []*server // of its attempts, in order
	inheritedAttempts       int       // attempts of the parts that it replaced
	inFlight                []*attempt
	mayHaveRun              bool          // an attempt may have had its effect
	retryableUntil          time.Duration // for further attempts, once one may have run
	bodyEvicted             bool          // it can't be sent any more
	evictedWithNoneInFlight bool          // its body was evicted while no attempt was in flight
	race                    *healthCheckRace
	raceDeadline            time.Duration // when the race is over for this part; 0: no reply yet
}

// attemptCount is the number of attempts that count against the part's limit.
func (p *part) attemptCount() int { return p.inheritedAttempts + len(p.servers) }

// wait lets the part wait for a replica to be chosen, by a race that is yet to begin.
func (p *part) wait() { p.state, p.race = partWaiting, nil }

// stopWaiting ends the wait: what is in flight may still answer.
func (p *part) stopWaiting() {
	p.state = partInFlight
	if len(p.inFlight) == 0 {
		p.state = partFailed
	}
}

// evictBody notes that the part can't be sent again: what is in flight is its last chance.
func (p *part) evictBody() {
	p.bodyEvicted = true
	p.evictedWithNoneInFlight = len(p.inFlight) == 0
	if p.state != partAnswered {
		p.stopWaiting()
	}
}

// inherit takes over what the parts that it replaces had come to.
func (p *part) inherit(from replaced) {
	p.inheritedAttempts, p.mayHaveRun, p.retryableUntil = from.attempts, from.mayHaveRun, from.retryableUntil
}

// isAt tells whether an attempt is in flight at a server.
func (p *part) isAt(s *server) bool {
	return slices.ContainsFunc(p.inFlight, func(a *attempt) bool { return a.server == s })
}

// attempt is one attempt of a part whose result is still to come.
type attempt struct {
	part     *part
	number   int // of the part's attempts, from 0
	server   *server
	sentAt   time.Duration
	load     float64 // of the server, when the attempt was sent
	overdue  bool
	canceled bool
}

type attemptKey struct {
	part   RequestID
	number int
}

// queryIndex holds the open queries, their parts and attempts.
type queryIndex struct {
	settings *Settings
	actions  *actionList

	open     []*query // by arrival
	byID     map[RequestID]*query
	byNumber map[uint64]*query
	parts    map[RequestID]*part
	attempts map[attemptKey]*attempt // those of ended queries too, until their result comes
}

func newQueryIndex(settings *Settings, actions *actionList) *queryIndex {
	return &queryIndex{
		settings: settings,
		actions:  actions,
		byID:     map[RequestID]*query{},
		byNumber: map[uint64]*query{},
		parts:    map[RequestID]*part{},
		attempts: map[attemptKey]*attempt{},
	}
}

// size is the number of open queries and their parts.
func (x *queryIndex) size() int { return len(x.byID) + len(x.parts) }

// addQuery takes a query that arrived; its parts follow.
func (x *queryIndex) addQuery(now time.Duration, a Arrival) {
	q := &query{
		id:         a.ID,
		number:     a.QueryNumber,
		classIndex: a.Class,
		class:      &x.settings.Classes[a.Class],
		tenant:     a.Tenant,
		arrivedAt:  now,
		timeout:    a.Timeout,
		endsAt:     now + a.Timeout,
		isNew:      true,
	}
	x.open = append(x.open, q)
	x.byID[a.ID], x.byNumber[a.QueryNumber] = q, q
}

// addPart takes a part of an open query; nil if there is no such query.
func (x *queryIndex) addPart(a Arrival) *part {
	q := x.byNumber[a.QueryNumber]
	if q == nil {
		return nil
	}
	p := &part{
		id:             a.ID,
		query:          q,
		shard:          a.Shard,
		weight:         a.Weight,
		state:          partWaiting,
		retryableUntil: unbounded,
	}
	q.parts = append(q.parts, p)
	x.parts[a.ID] = p
	return p
}

// replaced is what the parts that take the place of others inherit.
type replaced struct {
	attempts       int
	mayHaveRun     bool
	retryableUntil time.Duration
}

// removeReplaced takes out the parts whose shards have moved. The last attempt of each came to nothing
// because of the move, and does not count.
func (x *queryIndex) removeReplaced(e PartsReplaced) replaced {
	inherited := replaced{retryableUntil: unbounded}
	weight := e.ReceivedWeight
	for _, id := range e.IDs {
		p := x.parts[id]
		if p == nil || p.state == partAnswered {
			continue
		}
		inherited.attempts = max(inherited.attempts, p.attemptCount()-1)
		inherited.mayHaveRun = inherited.mayHaveRun || p.mayHaveRun
		inherited.retryableUntil = min(inherited.retryableUntil, p.retryableUntil)
		p.query.receivedWeight, weight = p.query.receivedWeight+weight, 0
		p.query.parts = slices.DeleteFunc(p.query.parts, func(o *part) bool { return o == p })
		x.withdraw(p)
	}
	return inherited
}

// end forgets a query and cancels its attempts. Their results may still come.
func (x *queryIndex) end(q *query) {
	q.ended = true
	delete(x.byID, q.id)
	if x.byNumber[q.number] == q {
		delete(x.byNumber, q.number)
	}
	for _, p := range q.parts {
		x.withdraw(p)
	}
	q.parts = nil
}

// withdraw forgets a part and cancels its attempts.
func (x *queryIndex) withdraw(p *part) {
	p.state = partWithdrawn
	delete(x.parts, p.id)
	x.cancelAttempts(p)
}

// cancelAttempts cancels what a part has in flight, where that is allowed.
func (x *queryIndex) cancelAttempts(p *part) {
	for _, a := range p.inFlight {
		if x.settings.Cancel && !a.canceled {
			a.canceled = true
			x.actions.add(Cancel{ID: p.id, Attempt: a.number})
		}
	}
}

// removeEnded forgets the queries that ended in this turn.
func (x *queryIndex) removeEnded() {
	x.open = slices.DeleteFunc(x.open, func(q *query) bool { return q.ended })
}

// addAttempt records an attempt that is sent now.
func (x *queryIndex) addAttempt(now time.Duration, p *part, s *server, load float64) {
	a := &attempt{part: p, number: len(p.servers), server: s, sentAt: now, load: load}
	p.inFlight = append(p.inFlight, a)
	p.servers = append(p.servers, s)
	s.inFlight.sent(now)
	x.attempts[attemptKey{p.id, a.number}] = a
}

// removeAttempt takes out an attempt whose result has come; nil if it is not known.
func (x *queryIndex) removeAttempt(id RequestID, number int) *attempt {
	key := attemptKey{id, number}
	a := x.attempts[key]
	if a == nil {
		return nil
	}
	delete(x.attempts, key)
	a.server.inFlight.ended(a.sentAt)
	a.part.inFlight = slices.DeleteFunc(a.part.inFlight, func(other *attempt) bool { return other == a })
	return a
}

// isOpen tells whether a part still has to be answered.
func (x *queryIndex) isOpen(p *part) bool {
	return !p.query.ended && x.parts[p.id] == p && p.state != partAnswered
}
