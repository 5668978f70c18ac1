package upstream_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
)

// sink is a ResultSink whose clock moves only when the test moves it. It passes the results to the test.
type sink struct {
	now    atomic.Int64
	mu     sync.Mutex
	timers []*timer

	ended        chan endedAttempt
	healthChecks chan coordinator.Result
	bodiesSent   chan coordinator.AttemptID
}

type timer struct {
	at   time.Duration
	fire func() // nil: fired or disarmed
}

type endedAttempt struct {
	id coordinator.AttemptID
	coordinator.Result
}

func newSink() *sink {
	return &sink{
		ended:        make(chan endedAttempt, 64),
		healthChecks: make(chan coordinator.Result, 64),
		bodiesSent:   make(chan coordinator.AttemptID, 64),
	}
}

func (s *sink) Now() time.Duration { return time.Duration(s.now.Load()) }

func (s *sink) Arm(at time.Duration, fire func()) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &timer{at, fire}
	s.timers = append(s.timers, t)
	return func() { s.mu.Lock(); t.fire = nil; s.mu.Unlock() }
}

// advance moves the clock forward by d and fires the timers that are due.
func (s *sink) advance(d time.Duration) {
	now := time.Duration(s.now.Add(int64(d)))
	s.mu.Lock()
	var due []func()
	for _, t := range s.timers {
		if t.fire != nil && t.at <= now {
			due, t.fire = append(due, t.fire), nil
		}
	}
	s.mu.Unlock()
	for _, fire := range due {
		fire()
	}
}

// waitUntilNoTimerDue waits until advance(d) would fire no timer. It is needed because a write whose bytes the server
// has already read may not have disarmed its timeout yet.
func (s *sink) waitUntilNoTimerDue(d time.Duration) {
	for due := true; due; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		due = slices.ContainsFunc(s.timers, func(t *timer) bool { return t.fire != nil && t.at <= s.Now()+d })
		s.mu.Unlock()
	}
}

func (s *sink) AttemptEnded(id coordinator.AttemptID, r coordinator.Result) {
	s.ended <- endedAttempt{id, r}
}
func (s *sink) BodySent(id coordinator.AttemptID)               { s.bodiesSent <- id }
func (s *sink) HealthCheckEnded(_ uint64, r coordinator.Result) { s.healthChecks <- r }

// wantEnded waits for the next result of an attempt and checks its outcome.
func (s *sink) wantEnded(t *testing.T, o outcome.Outcome) endedAttempt {
	t.Helper()
	got := <-s.ended
	if got.Outcome != o {
		t.Fatalf("outcome of attempt %v = %s, want %s", got.id, got.Outcome, o)
	}
	return got
}
