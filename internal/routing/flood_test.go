package routing

import (
	"testing"
	"time"
)

// floodResults returns the results of the attempts and health checks of the latest turn, which all succeed, each attempt
// with another latency.
func floodResults(h *harness, latency *time.Duration, sent map[RequestID]int) (events []Event) {
	for _, send := range actionsOf[Send](h.actions) {
		*latency += time.Microsecond
		events = append(events, attemptResult(send.ID, sent[send.ID], send.Server, OK, *latency))
		sent[send.ID]++
	}
	for _, check := range actionsOf[HealthCheck](h.actions) {
		events = append(events, HealthCheckResult{Server: check.Server, Code: OK, Latency: ms})
	}
	return events
}

// Guards against state, and so work, that grows with the queries of the last ten seconds: a core that falls behind as the
// first of them leave its windows (issue 55).
func TestFloodLeavesBoundedState(t *testing.T) {
	const queriesPerTurn, duration = 6, 11 * time.Second
	h := newHarness(t, testSettings())
	h.keepsReplies = true
	latency, id, sent := time.Duration(0), RequestID(0), map[RequestID]int{}
	for h.now < time.Minute+duration {
		events := floodResults(h, &latency, sent)
		for range queriesPerTurn {
			events = append(events, h.queryArrivals(id, 0, 0, 1, 2)...)
			id += 4
		}
		h.advance(h.router.settings.Tick, events...)
	}
	// Medians of latencies (of one class, of all, for each unit of load), of values, of replies and of three servers.
	const windows = 8
	turns := int(statsWindow / h.router.settings.Tick)
	if got, bound := h.router.SampleCount(), windows*maxSamples+4*turns; got > bound {
		t.Errorf("%d samples are held after %d queries, want at most %d", got, id/4, bound)
	}
	if got := h.router.retries.arrivals.count(h.now); got < int(id)*9/10 {
		t.Errorf("%d arrivals counted of %d, nearly all within the window", got, id)
	}
	if open := h.router.queries; len(open.open) > 3*queriesPerTurn || len(open.attempts) > 9*queriesPerTurn {
		t.Errorf("%d queries and %d attempts are open, want those of a few turns at most", len(open.open), len(open.attempts))
	}
}

// Guards against health-check races of the last ten seconds that each turn and each reply goes through (issue 55).
func TestRacesAreKeptInOrderAndDropped(t *testing.T) {
	h := newHealthChecks(&Settings{HealthChecks: true, Coordinators: 1}, &actionList{}, newResultRecorder(&Settings{Classes: testSettings().Classes}))
	s := &server{latency: newSlidingWindow(statsWindow)}
	var races []*healthCheckRace
	for turn := range 3000 {
		now := time.Duration(turn) * 5 * ms
		race := newHealthCheckRace(now)
		race.joined = turn%2 == 0
		h.retainRace(now, race)
		races = append(races, race)
	}
	if got := h.races.len(); got != int(statsWindow/(10*ms)) {
		t.Errorf("%d races are kept, want those of the last %v that a part waits for", got, statsWindow)
	}
	latest := races[len(races)-2]
	h.recordInRaces(latest.startedAt, s, true)
	h.recordInRaces(races[0].startedAt, s, true)
	if !latest.results[s] || len(races[0].results) > 0 {
		t.Errorf("results of the latest race %v and of a dropped one %v, want the reply in the latest alone", latest.results, races[0].results)
	}
}
