package routing

import (
	"reflect"
	"testing"
	"time"
)

// wantCounts checks the numbers of listed and excluded servers.
func (h *harness) wantCounts(known, excluded int) {
	h.t.Helper()
	if k, e := h.router.EndpointCounts(h.now); k != known || e != excluded {
		h.t.Errorf("known = %d, excluded = %d; want %d, %d", k, e, known, excluded)
	}
}

// failAttempt plays a query whose first attempt, at the server, ends with the code; then its client disconnects.
func (h *harness) failAttempt(id RequestID, server ServerID, code Code) {
	h.t.Helper()
	h.startQuery(id, 0, 0)
	h.sendAfterChecks(server)
	h.wantCounts(2, 0)
	h.advance(ms, attemptResult(id+1, 0, server, code, ms))
	h.turn(ClientDisconnected{ID: id})
}

func TestEndpointCountsExcludeDrainingUnreachableAndEjected(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantCounts(3, 0)
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 2, Cell: 1, State: Draining})
	h.wantCounts(3, 1)
	h.updateEndpoints(UpdateDelta, Endpoint{Server: 2, Cell: 1, State: Removed})
	h.wantCounts(2, 0)
	h.failAttempt(20, 1, Overloaded)
	h.wantCounts(2, 0) // an overloaded server is not excluded
	h.now += time.Second
	h.failAttempt(30, 1, ConnectFailed)
	h.wantCounts(2, 1)
	h.now += time.Second
	h.wantCounts(2, 0)
	h.failAttempt(40, 3, ServerError)
	h.failAttempt(50, 3, ServerError)
	h.wantCounts(2, 0) // it had an attempt within idleBeforeExclusion
	h.now += idleBeforeExclusion
	h.wantCounts(2, 1)
	h.now += 2 * time.Minute
	h.wantCounts(2, 0)
}

func TestSnapshotListsServers(t *testing.T) {
	h := newHarness(t, slowStartSettings(0.2, 3))
	h.updateEndpoints(UpdateFull, Endpoint{Server: 5, State: Ready, StartedAt: h.now},
		Endpoint{Server: 2, Cell: 1, State: Draining})
	s := h.server(2)
	s.latency.add(h.now, float64(40*ms))
	s.inFlight.sent(h.now - 20*ms)
	s.checks.consecutiveFailures = 1
	s.backoff = overloadBackoff{until: h.now + 30*ms, unreachable: true}
	h.setHealth(s, 0.5)
	want := []ServerSnapshot{{
		Server: 2, State: Draining, InFlight: 1, MedianLatency: 40 * ms, Health: []float64{0.5},
		FailedHealthChecks: 1, Unreachable: true, Backoff: 30 * ms, SinceLastSend: 20 * ms,
	}, {
		Server: 5, State: Ready, Health: []float64{1}, WarmingUp: true, SinceLastSend: h.now,
	}}
	if got := h.router.Snapshot(h.now); !reflect.DeepEqual(got, want) {
		t.Errorf("snapshot = %+v, want %+v", got, want)
	}
}
