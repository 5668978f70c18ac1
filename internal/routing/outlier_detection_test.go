package routing

import (
	"testing"
	"time"
)

// Guards against preferring a server that fails fast: it looks idle and would win every race.
func TestEjectRemovesServerThatFailsFast(t *testing.T) {
	h := newHarness(t, testSettings())
	failed := 0
	for i := range 30 {
		id := RequestID(100 + 10*i)
		h.startQuery(id, 0, 0)
		h.advance(5*ms, checkReply(1, 0), checkReply(2, 3), checkReply(3, 3))
		if len(actionsOf[Send](h.actions)) == 0 {
			h.advance(5 * ms)
		}
		send := wantActions[Send](t, h.actions, 1)[0]
		if send.Server == 1 {
			failed++
			h.advance(ms, attemptResult(send.ID, 0, 1, ServerError, ms))
			h.turn(ClientDisconnected{ID: id})
			continue
		}
		h.advance(10*ms, attemptResult(send.ID, 0, send.Server, OK, 10*ms))
	}
	if failed == 0 || failed > 4 {
		t.Errorf("%d of 30 parts were sent to the failing server, want 1 to 4", failed)
	}
}

func TestEjectKeepsLastReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, readyEndpoint(1, 0))
	h.setHealth(h.server(1), 0)
	h.startQuery(10, 0, 0)
	if h.sendAfterChecks(1) != 1 {
		t.Error("the last replica was ejected")
	}
}

func TestEjectKeepsReplicasThatFailAlike(t *testing.T) {
	h := newHarness(t, testSettings())
	for _, s := range h.router.endpoints.listed {
		h.setHealth(s, 0.1)
	}
	h.startQuery(10, 0, 0)
	wantActions[HealthCheck](t, h.actions, 3)
}

// Guards against ejecting a server for all classes where it fails one, and against ejecting it for good.
func TestHealthIsPerClassAndDecays(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	h := newHarness(t, settings)
	h.startQuery(10, 0, 0)
	outliers, s := h.router.results.outliers, h.server(1)
	outliers.recordFailure(h.now, s, 0)
	outliers.recordFailure(h.now, s, 0)
	for class, want := range []int{2, 3} {
		p := &part{query: &query{classIndex: class}}
		if got := len(h.router.selector.candidates(h.now, p)); got != want {
			t.Errorf("class %d: %d candidates, want %d", class, got, want)
		}
	}
	h.now += 5 * time.Minute
	h.turn()
	if health := outliers.health(h.now, s, 0); health < 0.95 {
		t.Errorf("health after five minutes = %.2f, want at least 0.95", health)
	}
}

func TestProbationAllowsOneAttemptAtATime(t *testing.T) {
	h := newHarness(t, testSettings())
	s := h.server(1)
	h.setHealth(s, 0.7)
	p := &part{query: &query{}}
	for inFlight, want := range []int{3, 2} {
		s.inFlight.count = inFlight
		if got := len(h.router.selector.candidates(h.now, p)); got != want {
			t.Errorf("with %d attempts in flight: %d candidates, want %d", inFlight, got, want)
		}
	}
}
