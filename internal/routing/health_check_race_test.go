package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestHealthChecksAreSharedByPartsOfOneTurn(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0, 1, 2)
	if checks := wantActions[HealthCheck](t, h.actions, 3); checks[0].Server == checks[1].Server {
		t.Errorf("health checks = %v, want one per server", checks)
	}
}

func TestRaceStaysOpenUntilMultipleOfFirstReply(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	wantActions[Send](t, h.advance(20*ms, checkReply(1, 5)), 0) // open until 30 ms
	wantActions[Send](t, h.advance(5*ms, checkReply(2, 0)), 0)
	if sends := wantActions[Send](t, h.advance(5*ms), 1); sends[0].Server != 2 {
		t.Errorf("sent to %d, want 2, which has the least load", sends[0].Server)
	}
}

func TestRaceSucceedsWithASingleReply(t *testing.T) {
	h := newHarness(t, testSettings())
	h.startQuery(10, 0, 0)
	h.advance(20*ms, checkReply(1, 5))
	if sends := wantActions[Send](t, h.advance(10*ms), 1); sends[0].Server != 1 {
		t.Errorf("sent to %d, want 1, the only one that replied", sends[0].Server)
	}
}

// Guards against a number of health checks per server that grows with the number of coordinators.
func TestReplyValidityScalesWithCoordinators(t *testing.T) {
	for _, coordinators := range []int{1, 40} {
		t.Run(fmt.Sprintf("coordinators=%d", coordinators), func(t *testing.T) {
			settings := testSettings()
			settings.Coordinators = coordinators
			h := newHarness(t, settings)
			h.keepsReplies = true
			h.startQuery(10, 0, 0)
			wantActions[HealthCheck](t, h.actions, 3)
			h.advance(5*ms, checkReply(1, 3), checkReply(2, 0)) // server 3 does not reply
			h.advance(5 * ms)
			h.turn(ClientDisconnected{ID: 10})
			h.now += fleetCheckInterval*time.Duration(coordinators) - 11*ms
			h.startQuery(20, 0, 0)
			if sends := wantActions[Send](t, h.actions, 1); sends[0].Server != 2 {
				t.Errorf("sent to %d, want 2", sends[0].Server)
			}
			wantActions[HealthCheck](t, h.actions, 0) // server 3 was sent a check within the validity
			h.advance(ms)
			h.startQuery(30, 0, 0)
			wantActions[Send](t, h.actions, 0)
			wantActions[HealthCheck](t, h.actions, 3)
		})
	}
}

func newTestHealthChecks() *healthChecks {
	settings := testSettings()
	return newHealthChecks(&settings, &actionList{}, newResultRecorder(&settings))
}

const (
	raceFirstReplyAge = 20 * ms // age of the race when its first reply is seen
	raceTestDeadline  = time.Duration(raceDurationFactor * float64(raceFirstReplyAge))

	raceTestLatency = 100 * ms // median latency of the part's class
	raceTestTimeout = time.Duration(firstReplyTimeoutLatencyShare * float64(raceTestLatency))
)

// raceResults are the results of a race by server; true: it replied.
type raceResults map[ServerID]bool

// The candidates are the servers 1 to 3.
var evaluateRaceCases = map[string]struct {
	results        raceResults
	firstReplySeen time.Duration // age of the race when the first reply was seen; 0: not yet
	age            time.Duration
	state          raceState
	replied        []ServerID
}{
	"open without a result": {nil, 0, raceTestTimeout - 1, raceOpen, nil},
	"open with a failure":   {raceResults{1: false}, 0, ms, raceOpen, nil},
	"open until the deadline": {
		raceResults{1: true}, raceFirstReplyAge, raceTestDeadline - 1, raceOpen, []ServerID{1},
	},
	"succeeded at the deadline": {
		raceResults{1: true}, raceFirstReplyAge, raceTestDeadline, raceSucceeded, []ServerID{1},
	},
	"succeeded with all replies": {
		raceResults{1: true, 2: true, 3: true}, 0, ms, raceSucceeded, []ServerID{1, 2, 3},
	},
	"succeeded with replies and a failure": {
		raceResults{1: true, 2: false, 3: true}, 0, ms, raceSucceeded, []ServerID{1, 3},
	},
	"failed by timeout":            {nil, 0, raceTestTimeout, raceFailed, nil},
	"failed by timeout, a failure": {raceResults{1: false}, 0, raceTestTimeout, raceFailed, nil},
	"failed with all failures":     {raceResults{1: false, 2: false, 3: false}, 0, ms, raceFailed, nil},
	"reply of no candidate":        {raceResults{9: true}, 0, ms, raceOpen, nil},
}

func TestHealthChecksEvaluateRace(t *testing.T) {
	for name, c := range evaluateRaceCases {
		t.Run(name, func(t *testing.T) {
			candidates := []*server{newServer(1), newServer(2), newServer(3)}
			race := newHealthCheckRace(time.Minute)
			for _, s := range append([]*server{newServer(9)}, candidates...) {
				if replied, ended := c.results[s.id]; ended {
					race.results[s] = replied
				}
			}
			p := &part{query: &query{}, race: race}
			checks := newTestHealthChecks()
			checks.latencies.byClass[0].add(time.Minute, float64(raceTestLatency))
			if c.firstReplySeen > 0 {
				checks.evaluateRace(time.Minute+c.firstReplySeen, p, candidates)
			}
			state, servers := checks.evaluateRace(time.Minute+c.age, p, candidates)
			if replied := serverIDs(servers); state != c.state || !slices.Equal(replied, c.replied) {
				t.Errorf("state = %d, replied = %v; want %d, %v", state, replied, c.state, c.replied)
			}
		})
	}
}

func TestHealthChecksFirstReplyTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		replyTime, latency, want time.Duration
	}{
		"by replies":  {60 * ms, 20 * ms, firstReplyTimeoutReplies * 60 * ms},
		"by latency":  {10 * ms, 300 * ms, time.Duration(firstReplyTimeoutLatencyShare * float64(300*ms))},
		"lower bound": {ms, ms, deadlineMarginTicks * 5 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			checks := newTestHealthChecks()
			checks.replyTimes.add(time.Minute, float64(c.replyTime))
			checks.latencies.byClass[0].add(time.Minute, float64(c.latency))
			if got := checks.firstReplyTimeout(time.Minute, &part{query: &query{}}); got != c.want {
				t.Errorf("timeout = %v, want %v", got, c.want)
			}
		})
	}
}

func TestHealthChecksSendAtMostOnePerInterval(t *testing.T) {
	const interval = 25 * ms
	for name, c := range map[string]struct {
		enabled bool
		sentAgo time.Duration // 0: never
		want    int
	}{
		"never checked":         {true, 0, 1},
		"within the interval":   {true, interval, 0},
		"after the interval":    {true, interval + 1, 1},
		"health checks are off": {false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			checks := newTestHealthChecks()
			checks.settings.HealthChecks = c.enabled
			s := newServer(1)
			if c.sentAgo > 0 {
				s.checks.sentAt = []time.Duration{time.Minute - c.sentAgo}
			}
			checks.send(time.Minute, []*server{s}, interval)
			wantActions[HealthCheck](t, checks.actions.list, c.want)
		})
	}
}

// Guards against matching a result to a later health check of the same server.
func TestHealthChecksRecordResultMatchesCheckByLatency(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		latency time.Duration
		open    []time.Duration // ages of the checks still pending, of those sent 30 ms and 10 ms ago
	}{
		"latest check":  {10 * ms, []time.Duration{30 * ms}},
		"earlier check": {11 * ms, []time.Duration{10 * ms}},
		"too old":       {time.Second, []time.Duration{10 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(1)
			s.checks.sentAt = []time.Duration{now - 30*ms, now - 10*ms}
			newTestHealthChecks().recordResult(now, s, HealthCheckResult{Server: 1, Code: OK, Latency: c.latency})
			var open []time.Duration
			for _, sentAt := range s.checks.sentAt {
				open = append(open, now-sentAt)
			}
			if !slices.Equal(open, c.open) {
				t.Errorf("ages of pending checks = %v, want %v", open, c.open)
			}
		})
	}
}

func TestHealthChecksRecordResultCountsConsecutiveFailures(t *testing.T) {
	checks, s := newTestHealthChecks(), newServer(1)
	for i, c := range []struct {
		code      Code
		failures  int
		reachable bool
	}{{TimedOut, 1, true}, {ConnectFailed, maxConsecutiveCheckFailures, false}, {OK, 0, true}} {
		s.checks.sentAt = []time.Duration{time.Minute}
		checks.recordResult(time.Minute, s, HealthCheckResult{Server: 1, Code: c.code})
		if s.checks.consecutiveFailures != c.failures || s.checks.isReachable() != c.reachable {
			t.Errorf("after result %d: %d failures, reachable %v; want %d, %v",
				i, s.checks.consecutiveFailures, s.checks.isReachable(), c.failures, c.reachable)
		}
	}
}
