package routing

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// clientTimeout is the Arrival.Timeout of the harness's queries.
const clientTimeout = 5 * time.Second

// harness runs one router turn by turn and keeps the actions of the latest turn.
type harness struct {
	t           *testing.T
	router      *Router
	now         time.Duration
	actions     []Action // of the latest turn
	queryNumber uint64   // of the latest query

	keepsReplies bool // health check replies stay valid in later turns; false: each turn clears them
}

// testSettings returns settings with three shards, three cells and one class. All features are on except slow
// start and quotas.
func testSettings() Settings {
	return Settings{
		Tick: 5 * ms, Coordinators: 1, Shards: 3, Cells: 3, ReplicasPerShard: 3, MaxAttempts: 4,
		HealthChecks: true, Cancel: true, Hedging: true, RetryAfter: true, MaxRetryAfter: time.Second,
		ReportFields: []ReportField{FieldUtilization, FieldInFlight},
		Classes: []Class{{
			Idempotency: Idempotent, LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second,
			PriorityWeight: 1, LateValue: 0.3, RequiredWeight: 1, MinWeight: 1,
		}},
	}
}

// partialSettings returns settings that allow partial answers of at least half of the weight.
func partialSettings() Settings {
	settings := testSettings()
	settings.Classes[0].RequiredWeight = 0.9
	settings.Classes[0].MinWeight = 0.5
	return settings
}

// slowStartSettings returns settings with a slow start of 15 s.
func slowStartSettings(initialShare, overloadFactor float64) Settings {
	settings := testSettings()
	settings.WarmupInitialShare = initialShare
	settings.WarmupDuration = 15 * time.Second
	settings.WarmupOverloadFactor = overloadFactor
	return settings
}

// serviceTimeSettings returns settings whose load reports hold requests in flight and service time.
func serviceTimeSettings() Settings {
	settings := testSettings()
	settings.ReportFields = []ReportField{FieldInFlight, FieldServiceTime}
	return settings
}

// keyedSettings returns settings with an idempotency window of 500 ms and no hedging.
func keyedSettings() Settings {
	settings := testSettings()
	settings.Hedging = false
	settings.Classes[0].Idempotency = IdempotentWithKey
	settings.Classes[0].IdempotencyWindow = 500 * ms
	return settings
}

// readyEndpoint returns the endpoint of a ready server that started long ago.
func readyEndpoint(server ServerID, cell int) Endpoint {
	return Endpoint{Server: server, Cell: cell, State: Ready}
}

// readyEndpoints returns ready servers with IDs from 1, one per cell.
func readyEndpoints(count int) []Endpoint {
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = readyEndpoint(ServerID(i+1), i)
	}
	return endpoints
}

// newHarness returns a harness with the servers 1 to 3 in the cells 0 to 2.
func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	router, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, router: router, now: time.Minute}
	h.updateEndpoints(UpdateCached, readyEndpoints(3)...)
	return h
}

// turn runs a turn at the same clock time as the previous one.
func (h *harness) turn(events ...Event) []Action {
	for _, s := range h.router.endpoints.listed {
		if !h.keepsReplies {
			s.checks.validUntil = 0
		}
	}
	h.actions = slices.Clone(h.router.Turn(h.now, events))
	return h.actions
}

// advance moves the clock forward and runs a turn.
func (h *harness) advance(elapsed time.Duration, events ...Event) []Action {
	h.now += elapsed
	return h.turn(events...)
}

func (h *harness) updateEndpoints(mode UpdateMode, endpoints ...Endpoint) []Action {
	return h.turn(EndpointUpdate{Mode: mode, Endpoints: endpoints})
}

// startQuery runs a turn in which a query arrives with one part per shard. The IDs of the parts follow that
// of the query.
func (h *harness) startQuery(id RequestID, class int, shards ...int) []Action {
	return h.turn(h.queryArrivals(id, class, shards...)...)
}

// queryArrivals returns the arrivals of such a query and its parts.
func (h *harness) queryArrivals(id RequestID, class int, shards ...int) []Event {
	h.queryNumber++
	arrival := Arrival{ID: id, Shard: -1, Timeout: clientTimeout, Class: class, QueryNumber: h.queryNumber}
	arrival.Weight = float64(len(shards))
	events := []Event{arrival}
	for i, shard := range shards {
		arrival.ID = id + 1 + RequestID(i)
		arrival.Shard = shard
		arrival.Weight = 1 / float64(len(shards))
		events = append(events, arrival)
	}
	return events
}

// replacementPart returns the arrival of a part that replaces a part of the latest query.
func (h *harness) replacementPart(id RequestID, shard int, weight float64) Arrival {
	return Arrival{
		ID: id, Shard: shard, Timeout: 4 * time.Second, QueryNumber: h.queryNumber, Weight: weight,
	}
}

// runQuery runs a query of one part from its arrival to its answer by one of the servers. The attempt takes
// the given latency.
func (h *harness) runQuery(id RequestID, latency time.Duration, servers ...ServerID) {
	h.t.Helper()
	h.startQuery(id, 0, 0)
	server := h.sendAfterChecks(servers...)
	h.advance(latency, attemptResult(id+1, 0, server, OK, latency))
}

// sendAfterChecks runs a race in which all of the given servers reply, and returns the server that gets the
// attempt.
func (h *harness) sendAfterChecks(servers ...ServerID) ServerID {
	h.t.Helper()
	var events []Event
	for _, server := range servers {
		events = append(events, checkReply(server, 0))
	}
	h.advance(5*ms, events...)
	sends := actionsOf[Send](h.actions)
	if len(sends) == 0 {
		sends = actionsOf[Send](h.advance(5 * ms))
	}
	if len(sends) != 1 {
		h.t.Fatalf("%d Send actions, want 1: %v", len(sends), h.actions)
	}
	return sends[0].Server
}

// server returns the router's state of a server.
func (h *harness) server(id ServerID) *server { return h.router.endpoints.servers[id] }

// setHealth sets a server's health for the single class.
func (h *harness) setHealth(s *server, health float64) {
	s.health = healthScores{byClass: []float64{health}, at: h.now}
}

// checkReply returns a successful health check result with a utilization of 0.5 and a latency of 2 ms.
func checkReply(server ServerID, inFlight float64) HealthCheckResult {
	result := reportReply(server, 0.5, inFlight)
	result.Latency = 2 * ms
	return result
}

// reportReply returns a successful health check result with a load report and a latency of 0.
func reportReply(server ServerID, report ...float64) HealthCheckResult {
	return HealthCheckResult{Server: server, Code: OK, LoadReport: report}
}

// attemptResult returns the result of an attempt of a part, without a load report.
func attemptResult(
	id RequestID, attempt int, server ServerID, code Code, latency time.Duration,
) AttemptResult {
	return AttemptResult{ID: id, Attempt: attempt, Server: server, Code: code, Latency: latency}
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var matching []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			matching = append(matching, a)
		}
	}
	return matching
}

// wantActions returns the actions of one type. It fails the test if their number is not count.
func wantActions[A Action](t *testing.T, actions []Action, count int) []A {
	t.Helper()
	matching := actionsOf[A](actions)
	if len(matching) != count {
		t.Fatalf("%d %T actions, want %d: %v", len(matching), *new(A), count, actions)
	}
	return matching
}

// newServer returns a listed and ready server that belongs to no router.
func newServer(id ServerID) *server {
	s := &server{id: id, listed: true}
	s.resetForRestart(readyEndpoint(id, int(id)-1), 1)
	return s
}

func serverIDs(servers []*server) []ServerID {
	ids := make([]ServerID, len(servers))
	for i, s := range servers {
		ids[i] = s.id
	}
	return ids
}
