package reshardexec

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"linkpass/internal/store"
)

// errLeadershipLost is the error of a poll that was withheld because this instance no longer leads in the term in which
// its round began.
var errLeadershipLost = errors.New("leadership was lost during the round of polls")

// lease tells whether this instance still leads the store, for the polls of one round. No other instance leads before a
// lease ends, so a request that is sent under it is not a stale leader's. It is safe for concurrent use.
type lease struct {
	term    uint64
	confirm func(context.Context) (store.LeaderState, error)
	now     func() time.Time
	endsAt  atomic.Pointer[time.Time]
}

// newLease returns the lease of a confirmed leader.
func newLease(leader store.LeaderState, confirm func(context.Context) (store.LeaderState, error)) *lease {
	l := &lease{term: leader.Term, confirm: confirm, now: time.Now}
	l.endsAt.Store(&leader.LeaseEnd)
	return l
}

// check returns nil if the lease has not ended. Otherwise it asks a quorum to confirm the leader again, which renews the
// lease. The error wraps errLeadershipLost if this instance does not lead in the same term any more.
func (l *lease) check(ctx context.Context) error {
	if l.now().Before(*l.endsAt.Load()) {
		return nil
	}
	leader, err := l.confirm(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", errLeadershipLost, err)
	}
	if leader.Term != l.term {
		return fmt.Errorf("%w: term %d, now %d", errLeadershipLost, l.term, leader.Term)
	}
	l.endsAt.Store(&leader.LeaseEnd)
	return nil
}
