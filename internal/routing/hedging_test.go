package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestHedgesAreLimitedWithoutRetryBudget(t *testing.T) {
	for _, delay := range []time.Duration{0, 250 * ms} {
		settings := testSettings()
		settings.MaxWriteDelay = delay
		h := newHarness(t, settings)
		for i := range 40 { // nothing replies: hedges of earlier parts still count when later ones are decided
			h.startQuery(RequestID(10+2*i), 0, 0)
			h.advance(200 * ms)
		}
		h.advance(2 * time.Second)
		retries := h.router.retries
		if n := retries.furtherAttempts.count(h.now); n == 0 || n > hedgeAllowance+int(hedgeRatio*80) {
			t.Errorf("write delay %v: %d hedges of 40 parts within %v, want 1 to %d",
				delay, n, statsWindow, hedgeAllowance+int(hedgeRatio*80))
		}
		if retries.furtherAttempts.span != statsWindow || retries.arrivals.span != statsWindow {
			t.Errorf("write delay %v: counted over %v and %v, want %v",
				delay, retries.furtherAttempts.span, retries.arrivals.span, statsWindow)
		}
	}
}

// Guards against hedges that worsen an overload which no load report shows.
func TestHedgeNeedsLoadReports(t *testing.T) {
	for _, hasReports := range []bool{true, false} {
		settings := testSettings()
		if !hasReports {
			settings.ReportFields = nil
		}
		h := newHarness(t, settings)
		h.startQuery(10, 0, 0)
		first := h.sendAfterChecks(1, 2, 3)
		h.advance(1500 * ms)
		if hedged := len(actionsOf[HealthCheck](h.actions)) > 0; hedged != hasReports {
			t.Errorf("load reports %v: health checks for a hedge: %v, want %v", hasReports, hedged, hasReports)
		}
		if hasReports {
			continue
		}
		h.advance(5*ms, attemptResult(11, 0, first, ServerError, 5*ms))
		if len(actionsOf[HealthCheck](h.actions)) == 0 {
			t.Error("without load reports: no health checks for a retry after a failure, want some")
		}
	}
}

func TestHedgeNeedsHedgingSetting(t *testing.T) {
	for _, hedging := range []bool{true, false} {
		t.Run(fmt.Sprintf("hedging=%v", hedging), func(t *testing.T) {
			settings := testSettings()
			settings.Hedging = hedging
			h := newHarness(t, settings)
			h.startQuery(10, 0, 0)
			h.sendAfterChecks(1, 2, 3)
			h.advance(1500 * ms)
			if hedged := len(actionsOf[HealthCheck](h.actions)) > 0; hedged != hedging {
				t.Errorf("hedging %v: health checks for a hedge: %v, want %v", hedging, hedged, hedging)
			}
		})
	}
}

// Guards against a part that gets no further attempt after its first attempt and first hedge went unanswered.
func TestSecondHedgeFollowsOverdueHedge(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	servers := map[ServerID]bool{h.sendAfterChecks(1, 2, 3): true}
	for range 2 {
		h.advance(1500 * ms)
		servers[h.sendAfterChecks(1, 2, 3)] = true
	}
	if len(servers) != 3 {
		t.Errorf("attempts sent to %v, want all three replicas", servers)
	}
}

// Guards against hedges that add to the very load that makes all attempts overdue.
func TestHedgesAreLimitedWhereAllAttemptsAreOverdue(t *testing.T) {
	for queries, maxHedges := range map[int]int{1: 3, 120: 40} {
		t.Run(fmt.Sprintf("queries=%d", queries), func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.runQuery(1, 20*ms, 1, 2, 3)
			for i := range queries {
				h.startQuery(RequestID(10+10*i), 0, 0)
			}
			sent := 0
			for range 60 { // nothing is answered; each attempt is overdue after 80 ms
				h.advance(5*ms, checkReply(1, 0), checkReply(2, 0), checkReply(3, 0))
				sent += len(actionsOf[Send](h.actions))
			}
			if hedges := sent - queries; hedges < 1 || hedges > maxHedges {
				t.Errorf("%d hedges of %d overdue parts, want 1 to %d", hedges, queries, maxHedges)
			}
		})
	}
}

func TestRetryPolicyMayHedge(t *testing.T) {
	const arrivals = 200
	const limit = hedgeAllowance + hedgeRatio*arrivals
	for name, c := range map[string]struct {
		fields  []ReportField
		further float64
		want    bool
	}{
		"at the limit":         {[]ReportField{FieldInFlight}, limit, true},
		"over the limit":       {[]ReportField{FieldInFlight}, limit + 1, false},
		"without load reports": {nil, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.ReportFields = c.fields
			if got := newRetryPolicy(&settings).mayHedge(c.further, arrivals); got != c.want {
				t.Errorf("mayHedge = %v, want %v", got, c.want)
			}
		})
	}
}

func TestHedgerCheckOverdue(t *testing.T) {
	overdueAfter := time.Duration(overdueObjectiveShare * float64(testSettings().Classes[0].LatencyObjective))
	for name, c := range map[string]struct {
		hedging bool
		state   partState
		age     time.Duration
		want    partState
		overdue bool
	}{
		"not overdue":           {true, partInFlight, overdueAfter, partInFlight, false},
		"overdue":               {true, partInFlight, overdueAfter + 1, partWaiting, true},
		"overdue, no hedging":   {false, partInFlight, overdueAfter + 1, partInFlight, true},
		"overdue, yet answered": {true, partAnswered, overdueAfter + 1, partAnswered, false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Hedging = c.hedging
			results := newResultRecorder(&settings)
			s := newServer(1)
			p := &part{state: c.state, retryableUntil: unbounded, servers: []*server{s}}
			p.query = &query{class: &settings.Classes[0]}
			p.inFlight = []*attempt{{part: p, server: s, sentAt: time.Minute}}
			newHedger(&settings, results, newRetryPolicy(&settings)).checkOverdue(time.Minute+c.age, p)
			if p.state != c.want || p.inFlight[0].overdue != c.overdue {
				t.Errorf("part state = %v, overdue = %v; want %v, %v",
					p.state, p.inFlight[0].overdue, c.want, c.overdue)
			}
			if failed := s.health.byClass[0] < 1; failed != c.overdue {
				t.Errorf("recorded as a failure: %v, want %v", failed, c.overdue)
			}
		})
	}
}
