package routing

import (
	"testing"
	"time"
)

// Guards against too many or too few attempts for the parts that replace a part whose shard has moved: they
// inherit its attempt count, without the attempt that ended with ShardMoved.
func TestReplacementPartsInheritAttempts(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 2
	h := newHarness(t, settings)
	h.turn(ShardPlacement{Shard: 100, Servers: []ServerID{1, 2}},
		ShardPlacement{Shard: 101, Servers: []ServerID{3}},
		ShardPlacement{Shard: 102, Servers: []ServerID{3}})
	h.startQuery(10, 0, 100)
	first := h.sendAfterChecks(1, 2)
	h.advance(50*ms, attemptResult(11, 0, first, ServerError, 50*ms))
	second := h.sendAfterChecks(1, 2)
	parts := []Arrival{h.replacementPart(12, 101, 0.5), h.replacementPart(13, 102, 0.5)}
	h.advance(5*ms, attemptResult(11, 1, second, ShardMoved, ms),
		PartsReplaced{IDs: []RequestID{11}, Parts: parts})
	h.advance(5*ms, checkReply(3, 0))
	sends := wantActions[Send](t, h.actions, 2)
	h.advance(20*ms, attemptResult(12, 0, sends[0].Server, OK, 20*ms))
	wantActions[Reject](t, h.actions, 0)
	h.advance(20*ms, attemptResult(13, 0, 3, ServerError, 20*ms))
	if len(actionsOf[Reject](h.actions)) != 1 {
		t.Errorf("actions = %v, want 1 Reject: the replacement part has no attempt left", h.actions)
	}
	outliers := h.router.results.outliers
	if outliers.health(h.now, h.server(second), 0) < outliers.health(h.now, h.server(first), 0) {
		t.Error("health of the server after ShardMoved is below that after ServerError, want it unaffected")
	}
}

func TestReceivedWeightOfReplacedPartCounts(t *testing.T) {
	h := newHarness(t, testSettings())
	h.turn(ShardPlacement{Shard: 100, Servers: []ServerID{1}},
		ShardPlacement{Shard: 101, Servers: []ServerID{3}})
	h.startQuery(10, 0, 100)
	h.sendAfterChecks(1)
	rest := []Arrival{h.replacementPart(12, 101, 0.25)}
	h.advance(50*ms, attemptResult(11, 0, 1, ShardMoved, 50*ms),
		PartsReplaced{IDs: []RequestID{11}, Parts: rest, ReceivedWeight: 0.75})
	wantActions[Answer](t, h.actions, 0)
	h.sendAfterChecks(3)
	h.advance(50*ms, attemptResult(12, 0, 3, OK, 50*ms))
	if answers := wantActions[Answer](t, h.actions, 1); !answers[0].Complete {
		t.Error("Complete = false for an answer of the full weight, want true")
	}
	h.startQuery(20, 0, 100)
	h.sendAfterChecks(1)
	h.advance(50*ms, attemptResult(21, 0, 1, ShardMoved, 50*ms),
		PartsReplaced{IDs: []RequestID{21}, ReceivedWeight: 0.75})
	wantActions[Reject](t, h.actions, 1) // no part is left for the missing weight, and MinWeight is 1
}

func TestPartStateTransitions(t *testing.T) {
	inFlight := []*attempt{{}}
	for name, c := range map[string]struct {
		part   part
		change func(*part)
		want   partState
	}{
		"wait":                          {part{state: partInFlight}, (*part).wait, partWaiting},
		"stop waiting, in flight":       {part{inFlight: inFlight}, (*part).stopWaiting, partInFlight},
		"stop waiting, none in flight":  {part{}, (*part).stopWaiting, partFailed},
		"body evicted, in flight":       {part{inFlight: inFlight}, (*part).evictBody, partInFlight},
		"body evicted, none in flight":  {part{}, (*part).evictBody, partFailed},
		"body evicted, answered before": {part{state: partAnswered}, (*part).evictBody, partAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			p := c.part
			c.change(&p)
			if p.state != c.want {
				t.Errorf("state = %v, want %v", p.state, c.want)
			}
		})
	}
}

func TestPartEvictBodyRecordsAttemptsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight []*attempt
		want     bool
	}{
		"in flight":      {[]*attempt{{}}, false},
		"none in flight": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := part{inFlight: c.inFlight}
			p.evictBody()
			if !p.bodyEvicted || p.evictedWithNoneInFlight != c.want {
				t.Errorf("evicted %v, none in flight %v; want true, %v",
					p.bodyEvicted, p.evictedWithNoneInFlight, c.want)
			}
		})
	}
}

func TestQueryIndexRemoveReplaced(t *testing.T) {
	until := time.Minute
	for name, c := range map[string]struct {
		parts    []*part
		want     inheritedState
		received float64
	}{
		"no part": {nil, inheritedState{retryableUntil: unbounded}, 0},
		"answered before": {[]*part{{state: partAnswered, mayHaveRun: true, servers: make([]*server, 3)}},
			inheritedState{retryableUntil: unbounded}, 0},
		"last attempt does not count": {[]*part{{servers: make([]*server, 3), retryableUntil: unbounded}},
			inheritedState{attempts: 2, retryableUntil: unbounded}, 0.5},
		"most attempts, least time": {[]*part{
			{servers: make([]*server, 1), retryableUntil: until},
			{servers: make([]*server, 2), inheritedAttempts: 1, mayHaveRun: true, retryableUntil: unbounded},
		}, inheritedState{attempts: 2, mayHaveRun: true, retryableUntil: until}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			index := newQueryIndex(&settings, &actionList{})
			q := &query{parts: c.parts}
			event := PartsReplaced{ReceivedWeight: 0.5}
			for i, p := range c.parts {
				p.id, p.query = RequestID(i+1), q
				index.parts[p.id] = p
				event.IDs = append(event.IDs, p.id)
			}
			if got := index.removeReplaced(event); got != c.want {
				t.Errorf("inheritedState = %+v, want %+v", got, c.want)
			}
			if q.receivedWeight != c.received {
				t.Errorf("receivedWeight = %v, want %v", q.receivedWeight, c.received)
			}
		})
	}
}

func TestCodeMayHaveRun(t *testing.T) {
	for code, want := range map[Code]bool{
		OK: true, ServerError: true, TimedOut: true, ConnReset: true, Canceled: true,
		Overloaded: false, ConnectFailed: false, NotSent: false, ShardMoved: false,
	} {
		if got := code.mayHaveRun(); got != want {
			t.Errorf("mayHaveRun of code %d = %v, want %v", code, got, want)
		}
	}
}
