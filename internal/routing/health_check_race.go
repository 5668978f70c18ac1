package routing

import (
	"slices"
	"time"
)

const (
	raceDurationFactor = 1.5 // a race stays open until this multiple of the first reply's time

	// The wait for a first reply: in median reply times, and at least this share of the part's median
	// latency, as a check that waits in a server's queue tells how soon the server is free.
	firstReplyTimeoutReplies      = 2
	firstReplyTimeoutLatencyShare = 0.5

	// How long a reply counts in later races, for each coordinator: the whole fleet together then sends a
	// server about one check in 25 ms.
	replyValidityPerCoordinator = 25 * time.Millisecond

	minFirstReplyTicks = 2 // least wait for a first reply

	// So many tell that the server, or the path to it, is down. Only the forecast leaves such a server out;
	// it still gets health checks and attempts.
	maxConsecutiveCheckFailures = 2
)

// healthCheckState is what is known of a server's health checks.
type healthCheckState struct {
	sentAt              []time.Duration // of those without a result yet
	consecutiveFailures int
	validUntil          time.Duration // until then the latest reply counts in later races
}

// isReachable tells whether the server, and the path to it, has passed one of the latest checks.
func (c *healthCheckState) isReachable() bool {
	return c.consecutiveFailures < maxConsecutiveCheckFailures
}

// healthCheckRace is the health checks that were sent in one turn, and their results so far. The replicas of
// every part that began to wait in that turn take part.
type healthCheckRace struct {
	startedAt time.Duration
	joined    bool             // a part waits for it
	results   map[*server]bool // true: the server replied
}

// healthChecks sends health checks and says when a race is over.
type healthChecks struct {
	settings  *Settings
	actions   *actionList
	latencies *latencyStats
	load      *loadEstimator
	outliers  *outlierDetector

	races      []*healthCheckRace
	replyTimes *slidingWindow // of the servers that replied, in nanoseconds
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

// check sends health checks to the servers that were not checked within the interval, or in this turn.
func (h *healthChecks) check(now time.Duration, servers []*server, interval time.Duration) {
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

// receive takes a result. It belongs to the latest check that is as old as the result says, or to the oldest.
func (h *healthChecks) receive(now time.Duration, s *server, result HealthCheckResult) {
	h.load.learn(now, s, result.LoadReport)
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
	for _, race := range h.races {
		if race.startedAt == sentAt {
			race.results[s] = replied
		}
	}
}

// replyValidity is how long a reply counts in later races.
func (h *healthChecks) replyValidity() time.Duration {
	return replyValidityPerCoordinator * time.Duration(h.settings.Coordinators)
}

// withValidReply returns the servers whose latest reply still counts; all, where no checks are sent.
func (h *healthChecks) withValidReply(now time.Duration, servers []*server) []*server {
	return filter(servers, func(s *server) bool {
		return !h.settings.HealthChecks || now < s.checks.validUntil
	})
}

func newHealthCheckRace(now time.Duration) *healthCheckRace {
	return &healthCheckRace{startedAt: now, results: map[*server]bool{}}
}

// join checks a part's candidates, and lets the part wait for the race where none of them has a valid reply.
// It returns those that have one: among them the choice can be made at once.
func (h *healthChecks) join(now time.Duration, race *healthCheckRace, p *part,
	candidates []*server) (valid []*server) {
	valid = h.withValidReply(now, candidates)
	interval := time.Duration(0)
	if len(valid) > 0 {
		interval = h.replyValidity()
	}
	h.check(now, filter(candidates, func(s *server) bool { return !slices.Contains(valid, s) }), interval)
	if len(valid) == 0 && len(candidates) > 0 {
		p.race, p.raceDeadline, race.joined = race, 0, true
	}
	return valid
}

// keep holds the race of this turn, if a part waits for it, and drops the old ones.
func (h *healthChecks) keep(now time.Duration, race *healthCheckRace) {
	h.races = append(h.races, race)
	oldest := now - statsWindow
	h.races = slices.DeleteFunc(h.races, func(r *healthCheckRace) bool {
		return r.startedAt < oldest || !r.joined
	})
}

// raceState is how a part's race stands.
type raceState uint8

const (
	raceOpen raceState = iota
	raceWon            // it is over, and candidates have replied
	raceLost           // no candidate has replied, and none is waited for any more
)

// judge looks at a part's race: it is over when every candidate has a result, at a multiple of the first
// reply's time, or when no reply has come for too long. It returns the candidates that replied.
func (h *healthChecks) judge(now time.Duration, p *part, candidates []*server) (raceState, []*server) {
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
			return raceLost, nil
		}
		return raceOpen, nil
	}
	if p.raceDeadline == 0 {
		p.raceDeadline = p.race.startedAt + time.Duration(raceDurationFactor*float64(age))
	}
	if missing == 0 || now >= p.raceDeadline {
		return raceWon, replied
	}
	return raceOpen, replied
}

// firstReplyTimeout is how long a race waits for its first reply.
func (h *healthChecks) firstReplyTimeout(now time.Duration, p *part) time.Duration {
	byReplies := firstReplyTimeoutReplies * h.replyTimes.median(now, 0)
	byLatency := firstReplyTimeoutLatencyShare * h.latencies.classMedian(now, p.query.classIndex)
	return max(time.Duration(max(byReplies, byLatency)), minFirstReplyTicks*h.settings.Tick)
}
