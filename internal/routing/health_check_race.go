package routing

import (
	"slices"
	"sort"
	"time"
)

const (
	raceDurationFactor = 1.5 // a race ends at this multiple of the time to its first reply

	// A race waits for its first reply for this many median reply times, and at least for this share of the
	// median latency of the part's class: a health check that waits in a server's queue shows how soon the
	// server is free.
	firstReplyTimeoutReplies      = 2
	firstReplyTimeoutLatencyShare = 0.5

	// All coordinators together send a server about one health check every 25 ms: a reply is valid in later
	// races for this interval multiplied by the number of coordinators, counted from the send of the check.
	fleetCheckInterval = 25 * time.Millisecond

	minFirstReplyTicks = 2 // lower bound of the wait for a first reply

	// After this many consecutive failures the server, or the path to it, is considered down. Only the
	// forecast leaves such a server out; it still gets health checks and attempts.
	maxConsecutiveCheckFailures = 2
)

// healthCheckState is the state of the health checks of one server.
type healthCheckState struct {
	sentAt              []time.Duration // of the checks without a result yet, oldest first
	consecutiveFailures int
	validUntil          time.Duration // until then later races accept the latest reply
}

// isReachable reports whether the server, and the path to it, is considered up: fewer than
// maxConsecutiveCheckFailures checks have failed since the latest success.
func (c *healthCheckState) isReachable() bool {
	return c.consecutiveFailures < maxConsecutiveCheckFailures
}

// healthCheckRace holds the health checks that were sent in one turn, and their results so far. All parts
// that began to wait in that turn share the race; their replicas take part in it.
type healthCheckRace struct {
	startedAt time.Duration
	joined    bool             // at least one part waits for the race
	results   map[*server]bool // true: the server replied
}

// healthChecks sends health checks and decides when a race is over.
type healthChecks struct {
	settings  *Settings
	actions   *actionList
	latencies *latencyStats
	load      *loadEstimator
	outliers  *outlierDetector

	races      ringQueue[*healthCheckRace] // of the last statsWindow, oldest first
	replyTimes *slidingWindow              // of successful health checks, in nanoseconds
}

func newHealthChecks(settings *Settings, actions *actionList, results *resultRecorder) *healthChecks {
	return &healthChecks{
		settings:   settings,
		actions:    actions,
		latencies:  results.latencies,
		load:       results.load,
		outliers:   results.outliers,
		replyTimes: newSlidingWindow(statsWindow),
	}
}

// send sends a health check to each of the servers, except those that were sent one within the interval or
// in this turn.
func (h *healthChecks) send(now time.Duration, servers []*server, interval time.Duration) {
	if !h.settings.HealthChecks {
		return
	}
	for _, s := range servers {
		sent := s.checks.sentAt
		if len(sent) == 0 || sent[len(sent)-1] < now-interval {
			s.checks.sentAt = append(sent, now)
			h.actions.add(HealthCheck{Server: s.id})
		}
	}
}

// recordResult records a result. It is matched to the latest pending check that is at least as old as the
// latency of the result, or to the oldest pending check if there is none.
func (h *healthChecks) recordResult(now time.Duration, s *server, result HealthCheckResult) {
	h.load.recordReport(now, s, result.LoadReport)
	if len(s.checks.sentAt) == 0 {
		return
	}
	n := len(s.checks.sentAt) - 1
	for n > 0 && s.checks.sentAt[n] > now-result.Latency {
		n--
	}
	sentAt := s.checks.sentAt[n]
	s.checks.sentAt = slices.Delete(s.checks.sentAt, n, n+1)
	replied := result.Code == OK
	if replied {
		s.checks.consecutiveFailures = 0
		s.checks.validUntil = sentAt + h.replyValidity()
		h.replyTimes.add(now, float64(now-sentAt))
	} else {
		h.outliers.recordFailedCheck(now, s)
	}
	h.recordInRaces(sentAt, s, replied)
}

// recordInRaces records the result of a check in the races that started when it was sent.
func (h *healthChecks) recordInRaces(sentAt time.Duration, s *server, replied bool) {
	first := sort.Search(h.races.len(), func(i int) bool { return (*h.races.at(i)).startedAt >= sentAt })
	for i := first; i < h.races.len() && (*h.races.at(i)).startedAt == sentAt; i++ {
		(*h.races.at(i)).results[s] = replied
	}
}

// replyValidity is how long after the send of a check later races accept its reply.
func (h *healthChecks) replyValidity() time.Duration {
	return fleetCheckInterval * time.Duration(h.settings.Coordinators)
}

// withValidReply returns the servers whose latest reply is still valid. It returns all servers if health
// checks are off.
func (h *healthChecks) withValidReply(now time.Duration, servers []*server) []*server {
	return filter(servers, func(s *server) bool {
		return !h.settings.HealthChecks || now < s.checks.validUntil
	})
}

func newHealthCheckRace(now time.Duration) *healthCheckRace {
	return &healthCheckRace{startedAt: now, results: map[*server]bool{}}
}

// joinRace sends health checks to a part's candidates. If none of them has a valid reply, the part waits for
// the race. It returns the candidates that have a valid reply: the router can choose among them at once.
func (h *healthChecks) joinRace(now time.Duration, race *healthCheckRace, p *part,
	candidates []*server) (valid []*server) {
	valid = h.withValidReply(now, candidates)
	interval := time.Duration(0)
	if len(valid) > 0 {
		interval = h.replyValidity()
	}
	h.send(now, filter(candidates, func(s *server) bool { return !slices.Contains(valid, s) }), interval)
	if len(valid) == 0 && len(candidates) > 0 {
		p.race, p.raceDeadline, race.joined = race, 0, true
	}
	return valid
}

// retainRace stores the race of this turn if a part waits for it, and drops races that started more than
// statsWindow ago.
func (h *healthChecks) retainRace(now time.Duration, race *healthCheckRace) {
	if race.joined {
		h.races.push(race)
	}
	for h.races.len() > 0 && (*h.races.at(0)).startedAt < now-statsWindow {
		h.races.pop()
	}
}

// raceState is the state of a race as seen by one part.
type raceState uint8

const (
	raceOpen      raceState = iota
	raceSucceeded           // over; at least one candidate replied
	raceFailed              // over; no candidate replied
)

// evaluateRace returns the state of a part's race and the candidates that replied. The race is over when
// every candidate has a result, at raceDurationFactor times the age at which its first reply was seen, or
// when no reply came within firstReplyTimeout.
func (h *healthChecks) evaluateRace(now time.Duration, p *part, candidates []*server) (raceState, []*server) {
	results := p.race.results
	replied := filter(candidates, func(s *server) bool { return results[s] })
	missing := 0
	for _, s := range candidates {
		if _, ended := results[s]; !ended {
			missing++
		}
	}
	age := now - p.race.startedAt
	if len(replied) == 0 {
		if missing == 0 || age >= h.firstReplyTimeout(now, p) {
			return raceFailed, nil
		}
		return raceOpen, nil
	}
	if p.raceDeadline == 0 {
		p.raceDeadline = p.race.startedAt + time.Duration(raceDurationFactor*float64(age))
	}
	if missing == 0 || now >= p.raceDeadline {
		return raceSucceeded, replied
	}
	return raceOpen, replied
}

// firstReplyTimeout is how long a race waits for its first reply.
func (h *healthChecks) firstReplyTimeout(now time.Duration, p *part) time.Duration {
	byReplies := firstReplyTimeoutReplies * h.replyTimes.median(now, 0)
	byLatency := firstReplyTimeoutLatencyShare * h.latencies.classMedian(now, p.query.classIndex)
	return max(time.Duration(max(byReplies, byLatency)), minFirstReplyTicks*h.settings.Tick)
}
