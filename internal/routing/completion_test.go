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
		t.Errorf("answer = %+v, want ID 10 and Complete true", answers[0])
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
		t.Errorf("attempt at server %d was not canceled, actions = %v", server, h.actions)
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
		t.Error("Complete = true for an answer of half of the weight, want false")
	}
}

// Guards against a query that stays open until its deadline after its body was evicted: no further attempt is
// possible, so the query has to end with the result of the attempt in flight.
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
				t.Errorf("actions = %v, want %d Fail and %d Reject", actions, c.fails, c.rejects)
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
		t.Error("Complete = true for an answer without the part whose body was evicted, want false")
	}
}

// decideCase is a query that arrived at decideArrival, and the expected decision.
type decideCase struct {
	elapsed    time.Duration // since decideArrival
	progress   progress
	change     func(*Class) // changes the class of partialSettings; nil: no change
	noHedging  bool
	overloaded bool
	want       decision
}

const decideArrival = time.Minute

func (c decideCase) decide() decision {
	settings := partialSettings()
	settings.Hedging = !c.noHedging
	class := &settings.Classes[0]
	if c.change != nil {
		c.change(class)
	}
	now := decideArrival + c.elapsed
	admission := &admissionControl{overloadedAt: now - time.Hour}
	if c.overloaded {
		admission.overloadedAt = now
	}
	q := &query{class: class, arrivedAt: decideArrival, endsAt: decideArrival + clientTimeout}
	q.parts = []*part{{query: q}}
	policy := &completionPolicy{settings: &settings, admission: admission}
	return policy.decide(now, q, c.progress)
}

// The class has a RequiredWeight of 0.9 and a MinWeight of 0.5.
func TestCompletionDecideByWeight(t *testing.T) {
	outOfReach := progress{received: 0.2, possible: 0.2, isPending: true}
	evicted := outOfReach
	evicted.bodyEvicted = true
	ran := outOfReach
	ran.mayHaveRun = true
	ranEvicted := evicted
	ranEvicted.mayHaveRun = true
	nonIdempotent := func(c *Class) { c.Idempotency = NonIdempotent }
	withKey := func(c *Class) { c.Idempotency = IdempotentWithKey }
	for name, c := range map[string]decideCase{
		"nothing received": {
			progress: progress{possible: 1, isPending: true}, want: keepOpen,
		},
		"required weight": {
			progress: progress{received: 0.9, possible: 0.1, isPending: true}, want: answerComplete,
		},
		"rounding of the weight": {
			progress: progress{received: 0.9 - weightTolerance/2}, want: answerComplete,
		},
		"enough, none pending": {progress: progress{received: 0.5}, want: answerPartial},
		"enough, one pending": {
			progress: progress{received: 0.5, possible: 0.5, isPending: true}, want: keepOpen,
		},
		"out of reach":                             {progress: outOfReach, want: reject},
		"out of reach, may have run":               {progress: ran, want: reject},
		"out of reach, body evicted":               {progress: evicted, want: reject},
		"out of reach, may have run, body evicted": {progress: ranEvicted, want: fail},
		"out of reach, non-idempotent":             {progress: outOfReach, change: nonIdempotent, want: fail},
		"out of reach, with key":                   {progress: outOfReach, change: withKey, want: fail},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.decide(); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

const (
	decideEnd  = clientTimeout - deadlineMarginTicks*5*ms
	decideLate = 2 * time.Second // the latency objective
)

var (
	allPending  = progress{possible: 1, isPending: true}
	halfPending = progress{received: 0.5, possible: 0.5, isPending: true}

	// The possible weight is not above LateValue, so the remaining work is worthwhile even when late.
	littlePending = progress{received: 0.3, possible: 0.3, isPending: true}
)

func noLateValue(class *Class) { class.LateValue = 0 }

func nonIdempotentNoLateValue(class *Class) {
	class.Idempotency = NonIdempotent
	class.LateValue = 0
}

var decideByTimeCases = map[string]decideCase{
	"before the end":    {elapsed: decideEnd - 1, progress: allPending, want: keepOpen},
	"at the end":        {elapsed: decideEnd, progress: allPending, want: fail},
	"enough at the end": {elapsed: decideEnd, progress: halfPending, want: answerPartial},
	"late":              {elapsed: decideLate, progress: allPending, want: keepOpen},
	"late, no late value": {
		elapsed: decideLate, progress: allPending, change: noLateValue, want: rejectTooLate,
	},
	"not late": {
		elapsed: decideLate - 1, progress: allPending, change: noLateValue, want: keepOpen,
	},
	"late, enough": {elapsed: decideLate, progress: halfPending, change: noLateValue, want: keepOpen},
	"late, non-idempotent": {
		elapsed: decideLate, progress: allPending, change: nonIdempotentNoLateValue, want: keepOpen,
	},
	"late, no hedging": {
		elapsed: decideLate, progress: allPending, change: noLateValue, noHedging: true, want: keepOpen,
	},
	"late, overloaded": {
		elapsed: decideLate, progress: allPending, overloaded: true, want: rejectTooLate,
	},
	"late, overloaded, little left": {
		elapsed: decideLate, progress: littlePending, overloaded: true, want: keepOpen,
	},
	"not late, overloaded": {
		elapsed: decideLate - 1, progress: allPending, overloaded: true, want: keepOpen,
	},
}

func TestCompletionDecideByTime(t *testing.T) {
	for name, c := range decideByTimeCases {
		t.Run(name, func(t *testing.T) {
			if got := c.decide(); got != c.want {
				t.Errorf("decision %d, want %d", got, c.want)
			}
		})
	}
}

func TestProgressOf(t *testing.T) {
	for name, c := range map[string]struct {
		received float64
		parts    []*part
		want     progress
	}{
		"no parts":  {0, nil, progress{}},
		"waiting":   {0, []*part{{weight: 1}}, progress{possible: 1, waiting: 1, isPending: true}},
		"in flight": {0, []*part{{weight: 1, state: partInFlight}}, progress{possible: 1, isPending: true}},
		"in flight, may have run": {0, []*part{{weight: 1, state: partInFlight, mayHaveRun: true}},
			progress{possible: 1, isPending: true, mayHaveRun: true}},
		"answered": {0, []*part{{weight: 1, state: partAnswered}}, progress{received: 1, mayHaveRun: true}},
		"answered, body evicted, none in flight": {0, []*part{{weight: 1, state: partAnswered, evictedWithNoneInFlight: true}},
			progress{received: 1, mayHaveRun: true, bodyEvicted: true}},
		"answered, body evicted in flight": {0, []*part{{weight: 1, state: partAnswered, bodyEvicted: true}},
			progress{received: 1, mayHaveRun: true}},
		"failed": {0, []*part{{weight: 1, state: partFailed}}, progress{}},
		"failed, body evicted": {
			0, []*part{{weight: 1, state: partFailed, bodyEvicted: true}}, progress{bodyEvicted: true},
		},
		"received by subranges": {0.5, nil, progress{received: 0.5, mayHaveRun: true}},
		"one of each": {0.25, []*part{
			{weight: 0.25}, {weight: 0.125, state: partInFlight}, {weight: 0.25, state: partAnswered},
			{weight: 0.125, state: partFailed},
		}, progress{received: 0.5, possible: 0.375, waiting: 1, isPending: true, mayHaveRun: true}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := progressOf(&query{receivedWeight: c.received, parts: c.parts}); got != c.want {
				t.Errorf("progress = %+v, want %+v", got, c.want)
			}
		})
	}
}
