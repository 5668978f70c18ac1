package routing

import "time"

// eligibility tells which servers may be sent attempts.
type eligibility struct {
	slowStart *slowStart
}

// mayGetAttempt tells whether a server may be sent an attempt now.
func (e eligibility) mayGetAttempt(now time.Duration, s *server) bool {
	return e.mayGetAttemptSoon(now, s) && s.backoff.isOver(now)
}

// mayGetAttemptSoon is the same, but also true for a server that is only overloaded: a query can wait until
// it is not.
func (e eligibility) mayGetAttemptSoon(now time.Duration, s *server) bool {
	isReady := s.listed && s.endpoint.State == Ready
	return isReady && !s.backoff.isUnreachable(now) && e.slowStart.allows(now, s)
}
