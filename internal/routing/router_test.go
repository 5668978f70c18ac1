package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestTurnIgnoresUnknownIDs(t *testing.T) {
	h := newHarness(t, testSettings())
	actions := h.turn(attemptResult(99, 0, 1, OK, ms), ClientDisconnected{ID: 99}, TimerFired{Token: 99},
		HealthCheckResult{Server: 99}, HealthCheckResult{Server: 1, Code: OK}, GossipMessage{})
	if len(actions) != 0 {
		t.Errorf("actions = %v, want none", actions)
	}
}

func TestTurnIsDeterministic(t *testing.T) {
	play := func() string {
		h := newHarness(t, testSettings())
		log := ""
		for i := range 40 {
			h.startQuery(RequestID(100+10*i), 0, i%3, (i+1)%3)
			log += fmt.Sprint(h.actions)
			log += fmt.Sprint(h.advance(5*ms, checkReply(1, 0), checkReply(2, 0), checkReply(3, 0)))
		}
		return log
	}
	if first, second := play(), play(); first != second {
		t.Error("two routers with the same seed and events returned different actions")
	}
}

func TestWarmUpAndCapacityChange(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 3, Cell: 2, State: Draining})
	wantActions[HealthCheck](t, h.turn(WarmUp{}), 2)
	h.turn(CapacityChange{MaxOpen: 2})
	wantActions[Reject](t, h.startQuery(10, 0, 0, 1), 1)
	h.turn(CapacityChange{MaxOpen: 3})
	wantActions[Reject](t, h.startQuery(20, 0, 0, 1), 0)
}

// fleet simulates a fleet in which every third server answers health checks but never an attempt.
type fleet struct {
	*harness
	open     []sentAttempt
	attempts map[RequestID]int // by part
	checks   []HealthCheck     // of the latest turn

	started, answered int    // numbers of queries
	unresponsive      [2]int // attempts sent to unresponsive servers, by half of the turns
}

type sentAttempt struct {
	id     RequestID
	number int
	server ServerID
	at     time.Duration
}

const (
	fleetServers = 160
	fleetTurns   = 4000 // 5 ms each, 20 s in all
)

func newFleet(t *testing.T) *fleet {
	t.Helper()
	settings := testSettings()
	settings.Shards = fleetServers
	settings.Cells = fleetServers
	settings.Coordinators = 60
	f := &fleet{harness: newHarness(t, settings), attempts: map[RequestID]int{}}
	f.updateEndpoints(UpdateFull, readyEndpoints(fleetServers)...)
	return f
}

func isUnresponsive(server ServerID) bool { return server%3 == 0 }

// results returns the results of the previous turn's health checks and of the attempts that are due.
func (f *fleet) results() []Event {
	var events []Event
	for _, check := range f.checks {
		result := checkReply(check.Server, 1)
		result.Latency = 4 * ms
		events = append(events, result)
	}
	f.open = slices.DeleteFunc(f.open, func(a sentAttempt) bool {
		if isUnresponsive(a.server) || f.now < a.at+150*ms {
			return false
		}
		events = append(events, attemptResult(a.id, a.number, a.server, OK, f.now-a.at))
		return true
	})
	return events
}

// nextQuery returns the arrivals of a query of twelve parts.
func (f *fleet) nextQuery() []Event {
	f.started++
	shards := make([]int, 12)
	for i := range shards {
		shards[i] = (f.started*37 + i*13) % fleetServers
	}
	return f.queryArrivals(RequestID(1000*f.started), 0, shards...)
}

// takeActions records the actions of a turn. Turns are numbered from 0.
func (f *fleet) takeActions(turn int) {
	f.checks = actionsOf[HealthCheck](f.actions)
	f.answered += len(actionsOf[Answer](f.actions))
	for _, send := range actionsOf[Send](f.actions) {
		f.open = append(f.open, sentAttempt{send.ID, f.attempts[send.ID], send.Server, f.now})
		f.attempts[send.ID]++
		if isUnresponsive(send.Server) {
			f.unresponsive[turn/(fleetTurns/2)]++
		}
	}
}

// Guards against parts that wait for an unresponsive server without a hedge, and against a selection that
// keeps choosing unresponsive servers.
func TestRouterAvoidsUnresponsiveThirdOfFleet(t *testing.T) {
	f := newFleet(t)
	for turn := range fleetTurns {
		f.now += 5 * ms
		events := f.results()
		if turn%40 == 0 && turn < 3600 {
			events = append(events, f.nextQuery()...)
		}
		f.turn(events...)
		f.takeActions(turn)
	}
	if f.answered < f.started*9/10 {
		t.Errorf("%d of %d queries answered, want at least nine in ten", f.answered, f.started)
	}
	if f.unresponsive[0] == 0 || f.unresponsive[1] > f.unresponsive[0]/2 {
		t.Errorf("attempts to unresponsive servers in each 10 s = %v, want above 0, then at most half",
			f.unresponsive)
	}
}
