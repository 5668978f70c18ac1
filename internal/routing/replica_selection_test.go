package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Guards against sending all parts to one server because of wrong load reports.
func TestChooseLimitsLeadInAttemptsInFlight(t *testing.T) {
	settings := testSettings()
	settings.Hedging = false
	h := newHarness(t, settings)
	h.runQuery(1, 20*ms, 1) // a low latency: nothing is rejected
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
		h.runQuery(RequestID(100+10*i), latency, ServerID(i+1))
	}
	h.startQuery(200, 0, 0)
	if sends := wantActions[Send](t, h.advance(time.Second), 1); sends[0].Server != 2 {
		t.Errorf("sent to %d after a race without replies, want 2", sends[0].Server)
	}
}

func TestChooseByLatencyTakesUnknownLatencyAsAverage(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, latency := range []time.Duration{90 * ms, 30 * ms} {
		h.runQuery(RequestID(100+10*i), latency, ServerID(2*i+1))
	}
	class := &h.router.settings.Classes[0]
	p := &part{id: 201, query: &query{id: 200, class: class, endsAt: h.now + time.Second}}
	h.router.endpoints.replicas[0] = h.router.endpoints.listed
	candidates := []*server{h.server(1), h.server(2)}
	chosen := h.router.selector.chooseByLatency(h.now, p, candidates)
	if chosen.id != 2 {
		t.Errorf("chose %d, want 2: without samples it counts as average (60 ms), 1 has 90 ms", chosen.id)
	}
}

func TestChooseSharesRequestsThatCost(t *testing.T) {
	for cost, want := range map[time.Duration]int{0: 2, 36 * ms: 1} {
		t.Run(fmt.Sprintf("cost=%v", cost), func(t *testing.T) {
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
		})
	}
}

// Guards against preferring the own zone while capacity is short.
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

// newTestSelector returns a selector with the servers 1 to 3, load reports of requests in flight and a request cost.
func newTestSelector(t *testing.T, crossZoneCost float64) (*replicaSelector, []*server) {
	t.Helper()
	settings := testSettings()
	settings.ReportFields = []ReportField{FieldInFlight}
	settings.CrossZoneCost = crossZoneCost
	settings.RequestCost = ms
	settings.PartsPerRequest = 4
	h := newHarness(t, settings)
	for _, s := range h.router.endpoints.listed {
		s.report = loadReport{values: []float64{0}, at: h.now}
	}
	return h.router.selector, h.router.endpoints.listed
}

func TestReplicaSelectorCost(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(*server)
		partsSent int
		want      float64
	}{
		"idle":   {func(*server) {}, 0, 1},
		"loaded": {func(s *server) { s.report.values = []float64{4} }, 0, 5},
		"half healthy": {
			func(s *server) { s.health = healthScores{[]float64{0.5}, time.Minute} }, 0, 4,
		},
		"shares a request":     {func(*server) {}, 1, 1 - sharedRequestDiscount},
		"request has no space": {func(*server) {}, 4, 1},
		"second request":       {func(*server) {}, 5, 1 - sharedRequestDiscount},
		"other zone":           {func(s *server) { s.endpoint.Zone = 1 }, 0, 1 + crossZonePenalty*0.1},
	} {
		t.Run(name, func(t *testing.T) {
			selector, servers := newTestSelector(t, 0.1)
			c.change(servers[0])
			selector.partsSent[servers[0]] = c.partsSent
			got := selector.cost(time.Minute, &part{query: &query{}}, servers[0])
			if math.Abs(got-c.want) > 1e-9 {
				t.Errorf("cost = %v, want %v", got, c.want)
			}
		})
	}
}

func TestReplicaSelectorChooseOrder(t *testing.T) {
	for name, c := range map[string]struct {
		reported [3]float64
		inFlight [3]int
		replied  []int // indexes
		want     ServerID
	}{
		"least cost":              {[3]float64{2, 1, 3}, [3]int{}, []int{0, 1, 2}, 2},
		"only those that replied": {[3]float64{2, 1, 3}, [3]int{}, []int{0, 2}, 1},
		"lead within its limit":   {[3]float64{9, 9, 0}, [3]int{0, 0, maxInFlightLead}, []int{0, 1, 2}, 3},
		"lead over its limit": {
			[3]float64{9, 8, 0}, [3]int{0, 0, maxInFlightLead + 1}, []int{0, 1, 2}, 2,
		},
		"lead over one that did not reply": {
			[3]float64{8, 9, 0}, [3]int{1, 0, maxInFlightLead + 1}, []int{0, 2}, 1},
		"fewest in flight at equal cost": {[3]float64{2, 1, 9}, [3]int{0, 1, 0}, []int{0, 1, 2}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			selector, servers := newTestSelector(t, 0)
			for i, s := range servers {
				s.report.values = []float64{c.reported[i]}
				s.inFlight.count = c.inFlight[i]
			}
			var replied []*server
			for _, i := range c.replied {
				replied = append(replied, servers[i])
			}
			got := selector.choose(time.Minute, &part{query: &query{}}, servers, replied)
			if got.id != c.want {
				t.Errorf("chose %d, want %d", got.id, c.want)
			}
		})
	}
}

func TestReplicaSelectorCandidates(t *testing.T) {
	for name, c := range map[string]struct {
		sentTo   []int // indexes of the servers of the part's attempts
		inFlight []int
		want     []ServerID
	}{
		"first attempt":        {nil, nil, []ServerID{1, 2, 3}},
		"retry":                {[]int{0}, nil, []ServerID{2, 3}},
		"hedge":                {[]int{0}, []int{0}, []ServerID{2, 3}},
		"retry after all":      {[]int{0, 1, 2}, nil, []ServerID{1, 2, 3}},
		"hedge after all":      {[]int{0, 1, 2}, []int{1}, []ServerID{1, 3}},
		"in flight everywhere": {[]int{0, 1, 2}, []int{0, 1, 2}, []ServerID{}},
	} {
		t.Run(name, func(t *testing.T) {
			selector, servers := newTestSelector(t, 0)
			p := &part{query: &query{}}
			for _, i := range c.sentTo {
				p.servers = append(p.servers, servers[i])
			}
			for _, i := range c.inFlight {
				p.inFlight = append(p.inFlight, &attempt{part: p, server: servers[i]})
			}
			if got := serverIDs(selector.candidates(time.Minute, p)); !slices.Equal(got, c.want) {
				t.Errorf("candidates = %v, want %v", got, c.want)
			}
		})
	}
}
