package routing

import (
	"slices"
	"time"
)

// query is one open query.
type query struct {
	id         RequestID
	number     uint64 // Arrival.QueryNumber of the query and its parts
	classIndex int
	class      *Class
	tenant     int

	arrivedAt time.Duration
	timeout   time.Duration // of its client, counted from arrivedAt
	endsAt    time.Duration // arrivedAt + timeout

	parts          []*part
	receivedWeight float64 // weight answered by subranges of replaced parts
	isNew          bool    // admission has not decided yet
	ended          bool
}

// partState is the state of a part in its life cycle.
type partState uint8

const (
	// partWaiting: the next attempt is to be sent, but its replica is not chosen yet. If the attempt is a
	// hedge, earlier attempts are in flight at the same time.
	partWaiting partState = iota
	// partInFlight: at least one attempt is in flight, and no other is to be sent now.
	partInFlight
	// partAnswered: an attempt succeeded.
	partAnswered
	// partFailed: no attempt is in flight, and no further one is allowed.
	partFailed
	// partWithdrawn: the query has ended, or the part was replaced by others.
	partWithdrawn
)

// String returns the state's name for logs and tests.
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

	servers                 []*server // of the part's own attempts, in order
	inheritedAttempts       int       // attempts of the parts that it replaced
	inFlight                []*attempt
	mayHaveRun              bool          // a server may have executed an attempt
	retryableUntil          time.Duration // latest time of a further attempt once one may have been executed
	bodyEvicted             bool          // the body was evicted, so no further attempt can be sent
	evictedWithNoneInFlight bool          // the body was evicted while no attempt was in flight
	race                    *healthCheckRace
	raceDeadline            time.Duration // when the race is over for this part; 0: no reply yet
}

// attemptCount returns the number of attempts that count toward Settings.MaxAttempts.
func (p *part) attemptCount() int { return p.inheritedAttempts + len(p.servers) }

// wait makes the part wait for a replica. The next dispatchParts starts a health-check race for it.
func (p *part) wait() { p.state, p.race = partWaiting, nil }

// stopWaiting ends the wait without a new attempt. Attempts in flight may still answer the part; without any
// the part has failed.
func (p *part) stopWaiting() {
	p.state = partInFlight
	if len(p.inFlight) == 0 {
		p.state = partFailed
	}
}

// evictBody records that the part cannot be sent again: only the attempts in flight may still answer it.
func (p *part) evictBody() {
	p.bodyEvicted = true
	p.evictedWithNoneInFlight = len(p.inFlight) == 0
	if p.state != partAnswered {
		p.stopWaiting()
	}
}

// inherit copies the attempt history of the parts that this part replaces.
func (p *part) inherit(from inheritedState) {
	p.inheritedAttempts, p.mayHaveRun, p.retryableUntil = from.attempts, from.mayHaveRun, from.retryableUntil
}

// isInFlightAt reports whether an attempt of the part is in flight at a server.
func (p *part) isInFlightAt(s *server) bool {
	return slices.ContainsFunc(p.inFlight, func(a *attempt) bool { return a.server == s })
}

// attempt is an attempt of a part whose result has not arrived yet.
type attempt struct {
	part     *part
	number   int // among the part's attempts, from 0
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

// queryIndex holds the open queries, their parts and their attempts.
type queryIndex struct {
	settings *Settings
	actions  *actionList

	open     []*query // in order of arrival
	byID     map[RequestID]*query
	byNumber map[uint64]*query
	parts    map[RequestID]*part
	attempts map[attemptKey]*attempt // until their result arrives, also after their query has ended
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

// size returns the number of open queries plus that of their parts.
func (x *queryIndex) size() int { return len(x.byID) + len(x.parts) }

// addQuery adds a query that arrived. Its parts follow in the same turn.
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

// addPart adds a part to its open query and returns it, or nil if the query is not open.
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

// inheritedState is the attempt history that new parts inherit from the parts they replace.
type inheritedState struct {
	attempts       int // the highest count among the replaced parts
	mayHaveRun     bool
	retryableUntil time.Duration
}

// removeReplaced removes the parts whose shards have moved and returns what their replacements inherit. The
// last attempt of each part had no effect because of the move, so it does not count.
func (x *queryIndex) removeReplaced(e PartsReplaced) inheritedState {
	inherited := inheritedState{retryableUntil: unbounded}
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

// end removes a query and cancels its attempts. Their results may still arrive.
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

// withdraw removes a part and cancels its attempts.
func (x *queryIndex) withdraw(p *part) {
	p.state = partWithdrawn
	delete(x.parts, p.id)
	x.cancelAttempts(p)
}

// cancelAttempts cancels a part's attempts in flight, if Settings.Cancel allows it.
func (x *queryIndex) cancelAttempts(p *part) {
	for _, a := range p.inFlight {
		if x.settings.Cancel && !a.canceled {
			a.canceled = true
			x.actions.add(Cancel{ID: p.id, Attempt: a.number})
		}
	}
}

// removeEnded removes the queries that ended in this turn from the list of open ones.
func (x *queryIndex) removeEnded() {
	x.open = slices.DeleteFunc(x.open, func(q *query) bool { return q.ended })
}

// addAttempt records an attempt that is sent in this turn.
func (x *queryIndex) addAttempt(now time.Duration, p *part, s *server, load float64) {
	a := &attempt{part: p, number: len(p.servers), server: s, sentAt: now, load: load}
	p.inFlight = append(p.inFlight, a)
	p.servers = append(p.servers, s)
	s.inFlight.sent(now)
	x.attempts[attemptKey{p.id, a.number}] = a
}

// removeAttempt removes an attempt whose result has arrived and returns it, or nil if it is unknown.
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

// isOpen reports whether a part still has to be answered.
func (x *queryIndex) isOpen(p *part) bool {
	return !p.query.ended && x.parts[p.id] == p && p.state != partAnswered
}
