package routing

import (
	"testing"
	"time"
)

// Guards against sending all parts to one server on wrong load reports.
func TestChooseLimitsLeadInAttemptsInFlight(t *testing.T) {
	settings := testSettings()
	settings.Hedging = false
	h := newHarness(t, settings)
	h.playQuery(1, 20*ms, 1) // a low latency: nothing is rejected
	for i, want := range []ServerID{1, 1, 1, 2} {
		h.advance(5 * ms)
		h.startQuery(RequestID(10+10*i), 0, 0)
		h.advance(5*ms, checkReply(1, 0), checkReply(2, 20), checkReply(3, 25))
		if got := wantActions[Send](t, h.actions, 1)[0].Server; got != want {
			t.Errorf("part %d was sent to %d, want %d", i, got, want)
		}
	}
}

func TestChooseByLatencyTakesLowestMedian(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, latency := range []time.Duration{90 * ms, 30 * ms, 60 * ms} {
		h.playQuery(RequestID(100+10*i), latency, ServerID(i+1))
	}
	h.startQuery(200, 0, 0)
	if sends := wantActions[Send](t, h.advance(time.Second), 1); sends[0].Server != 2 {
		t.Errorf("sent to %d after a race without replies, want 2", sends[0].Server)
	}
}

func TestChooseByLatencyTakesUnknownLatencyAsAverage(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, latency := range []time.Duration{90 * ms, 30 * ms} {
		h.playQuery(RequestID(100+10*i), latency, ServerID(2*i+1))
	}
	class := &h.router.settings.Classes[0]
	p := &part{id: 201, query: &query{id: 200, class: class, endsAt: h.now + time.Second}}
	h.router.endpoints.replicas[0] = h.router.endpoints.listed
	candidates := []*server{h.server(1), h.server(2)}
	chosen := h.router.selector.chooseByLatency(h.now, p, candidates)
	if chosen.id != 2 {
		t.Errorf("chose %d, want 2 without a latency (60 ms on average) before 1 (90 ms)", chosen.id)
	}
}

func TestChooseSharesRequestsThatCost(t *testing.T) {
	for cost, want := range map[time.Duration]int{0: 2, 36 * ms: 1} {
		settings := testSettings()
		settings.RequestCost = cost
		settings.PartsPerRequest = 4
		h := newHarness(t, settings)
		h.startQuery(10, 0, 0, 1)
		h.advance(5*ms, checkReply(1, 0), checkReply(2, 0), checkReply(3, 0))
		servers := map[ServerID]bool{}
		for _, send := range wantActions[Send](t, h.actions, 2) {
			servers[send.Server] = true
		}
		if len(servers) != want {
			t.Errorf("request cost %v: sent to %d servers, want %d", cost, len(servers), want)
		}
	}
}

// Guards against keeping to the zone while capacity is short.
func TestChoosePrefersZoneUnlessOverloaded(t *testing.T) {
	for name, c := range map[string]struct {
		cost       float64
		overloaded bool
		want       ServerID
	}{
		"cost":                {0.045, false, 1},
		"no cost":             {0, false, 2},
		"cost and overloaded": {0.045, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.CrossZoneCost = c.cost
			h := newHarness(t, settings)
			h.updateEndpoints(UpdateDelta, Endpoint{Server: 2, Cell: 1, State: Ready, Zone: 1},
				Endpoint{Server: 3, Cell: 2, State: Ready, Zone: 2})
			if c.overloaded {
				h.router.admission.overloadedAt = h.now
			}
			h.startQuery(10, 0, 0)
			h.advance(5*ms, checkReply(1, 1), checkReply(2, 0), checkReply(3, 9))
			if sends := wantActions[Send](t, h.actions, 1); sends[0].Server != c.want {
				t.Errorf("sent to %d, want %d", sends[0].Server, c.want)
			}
		})
	}
}
