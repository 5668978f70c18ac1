package routing

import (
	"testing"
	"time"
)

// wantCounts checks the numbers of known and excluded servers.
func (h *harness) wantCounts(known, excluded int) {
	h.t.Helper()
	if k, e := h.router.EndpointCounts(h.now); k != known || e != excluded {
		h.t.Errorf("%d known, %d excluded; want %d and %d", k, e, known, excluded)
	}
}

// failAttempt plays a query whose first attempt, at the server, ends with the code; then its client leaves.
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
	h.wantCounts(2, 0) // overloaded for the moment is not excluded
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
