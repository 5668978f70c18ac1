package routing

import "testing"

// Guards against a forecast by the last reports of replicas that answer no health checks any more.
func TestForecastSkipsUnreachableReplicas(t *testing.T) {
	h := newHarness(t, testSettings())
	for _, id := range []ServerID{1, 2} {
		h.server(id).checks.consecutiveFailures = maxConsecutiveCheckFailures
	}
	forecaster := h.router.admission.forecaster
	if got := forecaster.reachableReplicas(h.now, 0); len(got) != 1 || got[0].id != 3 {
		t.Errorf("%d reachable replicas, want server 3 alone", len(got))
	}
	h.server(3).checks.consecutiveFailures = maxConsecutiveCheckFailures
	if got := forecaster.reachableReplicas(h.now, 0); len(got) != 3 {
		t.Errorf("%d reachable replicas where none answers, want all 3", len(got))
	}
}

func TestForecastAdmitsWhereOneReplicaIsIdle(t *testing.T) {
	h := newHarness(t, testSettings())
	h.playQuery(1, 20*ms, 1)
	h.startQuery(10, 0, 0)
	h.advance(5*ms, checkReply(1, 0), checkReply(2, 99), checkReply(3, 99))
	h.startQuery(20, 0, 0)
	wantActions[Reject](t, h.actions, 0)
}
