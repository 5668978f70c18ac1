package routing

import (
	"testing"
	"time"
)

func TestAnswerFollowsLastPart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0, 1)
	h.advance(5*ms, checkReply(1, 0), checkReply(2, 0), checkReply(3, 0))
	sends := wantActions[Send](t, h.actions, 2)
	first := attemptResult(sends[0].ID, 0, sends[0].Server, OK, 50*ms)
	wantActions[Answer](t, h.advance(50*ms, first), 0)
	wantActions[Answer](t, h.turn(first), 0) // the same result twice
	second := attemptResult(sends[1].ID, 0, sends[1].Server, OK, 55*ms)
	answers := wantActions[Answer](t, h.advance(5*ms, second), 1)
	if answers[0] != (Answer{ID: 10, Complete: true}) {
		t.Errorf("answer = %+v", answers[0])
	}
}

func TestQueryFailsBeforeClientTimeout(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	server := h.sendAfterChecks(1, 2, 3)
	wantActions[Fail](t, h.advance(4900*ms), 0)
	h.advance(85 * ms)
	wantActions[Fail](t, h.actions, 1)
	if cancels := actionsOf[Cancel](h.actions); len(cancels) == 0 || cancels[0].ID != 11 {
		t.Errorf("the attempt at %d was not canceled: %v", server, h.actions)
	}
	wantActions[Send](t, h.advance(time.Second), 0)
}

func TestPartialAnswerIsNotComplete(t *testing.T) {
	h := newHarness(t, partialSettings())
	h.startQuery(10, 0, 0, 1)
	h.advance(5*ms, checkReply(1, 0), checkReply(2, 0), checkReply(3, 0))
	sends := wantActions[Send](t, h.actions, 2)
	h.advance(50*ms, attemptResult(sends[0].ID, 0, sends[0].Server, OK, 50*ms))
	wantActions[Answer](t, h.actions, 0)
	answers := wantActions[Answer](t, h.advance(4935*ms), 1)
	if answers[0].Complete {
		t.Error("an answer of half of the weight is marked complete")
	}
}

// Guards against a query that waits for its deadline though its body was evicted and no attempt may follow.
func TestEvictedBodyEndsQueryAfterItsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		code           Code
		fails, rejects int
	}{
		"may have run": {ConnReset, 1, 0},
		"never ran":    {Overloaded, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.startQuery(10, 0, 0)
			server := h.sendAfterChecks(1, 2, 3)
			h.turn(BodyEvicted{ID: 11})
			wantActions[Send](t, h.advance(4*time.Second), 0) // overdue, and no hedge
			wantActions[Reject](t, h.actions, 0)
			actions := h.advance(5*ms, attemptResult(11, 0, server, c.code, time.Second))
			if len(actionsOf[Fail](actions)) != c.fails || len(actionsOf[Reject](actions)) != c.rejects {
				t.Errorf("%v, want %d Fail and %d Reject", actions, c.fails, c.rejects)
			}
		})
	}
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	h.turn(BodyEvicted{ID: 11}) // before any attempt
	wantActions[Send](t, h.actions, 0)
	wantActions[Reject](t, h.actions, 1)
}

func TestEvictedBodyLeavesPartialAnswer(t *testing.T) {
	h := newHarness(t, partialSettings())
	h.startQuery(10, 0, 0, 1)
	h.advance(5*ms, checkReply(1, 0), checkReply(2, 0), checkReply(3, 0))
	sends := wantActions[Send](t, h.actions, 2)
	h.turn(BodyEvicted{ID: sends[0].ID}, BodyEvicted{ID: sends[1].ID})
	h.advance(20*ms, attemptResult(sends[0].ID, 0, sends[0].Server, OK, 20*ms))
	h.advance(5*ms, attemptResult(sends[1].ID, 0, sends[1].Server, ServerError, 25*ms))
	if answers := wantActions[Answer](t, h.actions, 1); answers[0].Complete {
		t.Error("an answer without the part whose body was evicted is marked complete")
	}
}
