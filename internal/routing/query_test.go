package routing

import "testing"

// Guards against more attempts than allowed, or fewer, where parts replace one whose shard has moved.
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
		t.Errorf("%v: a replacement part had more attempts than were left", h.actions)
	}
	outliers := h.router.results.outliers
	if outliers.health(h.now, h.server(second), 0) < outliers.health(h.now, h.server(first), 0) {
		t.Error("ShardMoved counted against the server's health")
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
		t.Error("an answer of the full weight is not marked complete")
	}
	h.startQuery(20, 0, 100)
	h.sendAfterChecks(1)
	h.advance(50*ms, attemptResult(21, 0, 1, ShardMoved, 50*ms),
		PartsReplaced{IDs: []RequestID{21}, ReceivedWeight: 0.75})
	wantActions[Reject](t, h.actions, 1) // no part asks for the rest, and all of the weight is required
}
