package routing

import "time"

// eligibility decides which servers may be sent attempts.
type eligibility struct {
	slowStart *slowStart
}

// mayGetAttempt reports whether a server may be sent an attempt now.
func (e eligibility) mayGetAttempt(now time.Duration, s *server) bool {
	return e.mayGetAttemptAfterBackoff(now, s) && s.backoff.isOver(now)
}

// mayGetAttemptAfterBackoff is like mayGetAttempt, but ignores a backoff after an overload: a query can wait
// until that backoff is over. It does not ignore a backoff after a failed connect.
func (e eligibility) mayGetAttemptAfterBackoff(now time.Duration, s *server) bool {
	isReady := s.listed && s.endpoint.State == Ready
	return isReady && !s.backoff.isUnreachable(now) && e.slowStart.allows(now, s)
}
