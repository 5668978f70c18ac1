package routing

import (
	"math/rand/v2"
	"time"
)

// Router makes the routing decisions of one coordinator. It runs the steps of a turn in order; each rule is
// a type of its own. Routers are made by New; the zero value is not usable.
type Router struct {
	settings *Settings
	now      time.Duration // clock time of the latest turn
	actions  *actionList   // of the latest turn
	timer    turnTimer

	endpoints    *endpointList
	subscription endpointSubscription
	queries      *queryIndex
	results      *resultRecorder
	slowStart    *slowStart
	checks       *healthChecks
	selector     *replicaSelector
	retries      *retryPolicy
	hedger       *hedger
	admission    *admissionControl
	completion   *completionPolicy
}

// New returns a router with no endpoints and no open queries. The same settings, seed and turns give the same
// actions. The error is a *SettingsError.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	set := &settings
	random := rand.New(rand.NewPCG(seed, uint64(set.Shards)))
	actions := &actionList{}
	endpoints := newEndpointList(set)
	queries := newQueryIndex(set, actions)
	results := newResultRecorder(set)
	starts := newSlowStart(set, random, results)
	eligible := eligibility{slowStart: starts}
	retries := newRetryPolicy(set)
	admission := newAdmissionControl(set, queries, newForecaster(endpoints, results, eligible))
	return &Router{
		settings:     set,
		actions:      actions,
		endpoints:    endpoints,
		subscription: newEndpointSubscription(set, random),
		queries:      queries,
		results:      results,
		slowStart:    starts,
		checks:       newHealthChecks(set, actions, results),
		selector:     newReplicaSelector(set, random, endpoints, results, eligible, admission),
		retries:      retries,
		hedger:       newHedger(set, results, retries),
		admission:    admission,
		completion:   &completionPolicy{settings: set, admission: admission},
	}, nil
}

// Turn processes the events that happened since the previous turn and returns the actions to carry out. now
// is the clock time of the turn and must not decrease. The returned slice is valid until the next call.
func (r *Router) Turn(now time.Duration, events []Event) []Action {
	r.now = now
	r.actions.reset()
	r.slowStart.updateWarmRate(now, r.endpoints.listed)
	for _, event := range events {
		r.apply(event)
	}
	if r.subscription.start(now) {
		r.actions.add(Subscribe{})
	}
	r.results.update(now, r.endpoints.listed)
	r.decideQueries()
	r.dispatchParts()
	r.setTimer()
	return r.actions.list
}

// apply updates the router's state with one event.
func (r *Router) apply(event Event) {
	switch e := event.(type) {
	case EndpointUpdate:
		r.updateEndpoints(e)
	case ShardPlacement:
		r.endpoints.setPlacement(e)
	case Arrival:
		r.addArrival(e)
	case AttemptResult:
		r.endAttempt(e)
	case HealthCheckResult:
		if s := r.endpoints.servers[e.Server]; s != nil {
			r.checks.recordResult(r.now, s, e)
		}
	case CapacityChange:
		r.admission.maxOpen = e.MaxOpen
	case PartsReplaced:
		r.replaceParts(e)
	case BodyEvicted:
		if p := r.queries.parts[e.ID]; p != nil {
			p.evictBody()
		}
	case WarmUp:
		r.checkEligibleServers()
	case ClientDisconnected:
		if q := r.queries.byID[e.ID]; q != nil {
			r.queries.end(q)
		}
	}
}

// updateEndpoints applies an update of the endpoint list. A server that returns soon after it left the list
// keeps its statistics, unless its process was restarted.
func (r *Router) updateEndpoints(u EndpointUpdate) {
	if u.Mode == UpdateFailed {
		r.subscription.failed(r.now)
		return
	}
	if u.Mode != UpdateCached {
		r.subscription.succeeded()
	}
	if u.Mode != UpdateDelta {
		r.endpoints.markAllUnlisted()
	}
	for _, e := range u.Endpoints {
		if s, restarted := r.endpoints.applyEndpoint(e); restarted {
			r.slowStart.startFirstGap(r.now, s)
		}
	}
	r.endpoints.rebuild(r.now)
}

// addArrival adds a query or one of its parts.
func (r *Router) addArrival(a Arrival) {
	r.retries.countArrival(r.now)
	if a.Shard < 0 {
		r.queries.addQuery(r.now, a)
		return
	}
	r.queries.addPart(a)
}

// replaceParts removes parts whose shards have moved and adds the parts that request the same data from the
// new shards.
func (r *Router) replaceParts(e PartsReplaced) {
	inherited := r.queries.removeReplaced(e)
	for _, a := range e.Parts {
		r.addArrival(a)
		if p := r.queries.parts[a.ID]; p != nil {
			p.inherit(inherited)
		}
	}
}

// checkEligibleServers sends a health check to every server that may get attempts soon.
func (r *Router) checkEligibleServers() {
	eligible := filter(r.endpoints.listed, func(s *server) bool {
		return r.selector.eligibility.mayGetAttemptAfterBackoff(r.now, s)
	})
	r.checks.send(r.now, eligible, 0)
}

// decideQueries admits or rejects the new queries and ends those that completionPolicy decides to end, in
// order of arrival.
func (r *Router) decideQueries() {
	r.admission.forecaster.waitingParts = 0
	for _, q := range r.queries.open {
		if q.isNew && !q.ended {
			r.admit(q)
		}
		if !q.ended {
			r.review(q)
		}
	}
	r.queries.removeEnded()
}

// admit admits a new query or rejects it. On a rejection it sends health checks to the slow replicas whose
// load reports are stale, because rejected queries yield no results with new reports.
func (r *Router) admit(q *query) {
	q.isNew = false
	admitted, rejection := r.admission.decide(r.now, q)
	if admitted {
		return
	}
	stale := filter(rejection.slowReplicas, func(s *server) bool {
		return r.now > s.report.at+rejection.reportMaxAge
	})
	r.checks.send(r.now, stale, rejection.reportMaxAge)
	r.reject(q, rejection.retryAfter)
}

// review ends an open query if completionPolicy decides so. Otherwise it looks for overdue attempts to hedge.
func (r *Router) review(q *query) {
	progress := progressOf(q)
	r.admission.forecaster.waitingParts += progress.waiting
	switch r.completion.decide(r.now, q, progress) {
	case answerComplete:
		r.end(q, Answer{ID: q.id, Complete: true})
	case answerPartial:
		r.end(q, Answer{ID: q.id})
	case fail:
		r.end(q, Fail{ID: q.id})
	case reject:
		r.reject(q, time.Duration(r.results.latencies.classMedian(r.now, q.classIndex)))
	case rejectTooLate:
		r.reject(q, r.settings.MaxRetryAfter)
	case keepOpen:
		for _, p := range q.parts {
			r.hedger.checkOverdue(r.now, p)
		}
	}
}

// reject ends a query with a Reject action. The advice is limited to MaxRetryAfter, and left out if
// Settings.RetryAfter is off.
func (r *Router) reject(q *query, retryAfter time.Duration) {
	if !r.settings.RetryAfter {
		retryAfter = 0
	}
	r.end(q, Reject{ID: q.id, RetryAfter: max(0, min(retryAfter, r.settings.MaxRetryAfter))})
}

// end ends a query with its final action: Answer, Fail or Reject.
func (r *Router) end(q *query, final Action) {
	r.actions.add(final)
	r.queries.end(q)
}

// dispatchParts starts a health-check race for the parts that began to wait for a replica, and sends the
// parts whose race is over.
func (r *Router) dispatchParts() {
	clear(r.selector.partsSent)
	race := newHealthCheckRace(r.now)
	for _, q := range r.queries.open {
		for _, p := range q.parts {
			if p.state != partWaiting {
				continue
			}
			candidates := r.selector.candidates(r.now, p)
			if p.race == nil {
				r.joinRace(race, p, candidates)
			} else {
				r.dispatchAfterRace(p, candidates)
			}
		}
	}
	r.checks.retainRace(r.now, race)
}

// joinRace sends a part at once if earlier health-check replies of its candidates are still valid. Otherwise
// the part joins the race of this turn; a part without candidates waits for the next turn.
func (r *Router) joinRace(race *healthCheckRace, p *part, candidates []*server) {
	if valid := r.checks.joinRace(r.now, race, p, candidates); len(valid) > 0 {
		r.send(p, r.selector.choose(r.now, p, candidates, valid))
	}
}

// dispatchAfterRace sends a part whose race is over. A part that has no candidates left waits for a new race.
func (r *Router) dispatchAfterRace(p *part, candidates []*server) {
	state, replied := r.checks.evaluateRace(r.now, p, candidates)
	switch {
	case state == raceSucceeded:
		r.send(p, r.selector.choose(r.now, p, candidates, replied))
	case state == raceFailed && len(candidates) > 0:
		r.send(p, r.selector.chooseByLatency(r.now, p, candidates))
	case state == raceFailed:
		p.wait()
	}
}

// setTimer requests the next turn: one tick from now while queries are open, otherwise when the next
// Subscribe is due.
func (r *Router) setTimer() {
	at, pending := r.subscription.next()
	if len(r.queries.open) > 0 {
		at, pending = r.now+r.settings.Tick, true
	}
	if pending {
		r.timer.set(r.now, at, r.actions)
	}
}
