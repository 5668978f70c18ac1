package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"
)

// MaxCommandBytes is the maximum encoded size of one command, in bytes.
const MaxCommandBytes = 1 << 20

const (
	// Clients' changes are rate-limited because every member writes each change to disk. Restrictions on servers
	// (drain, remove) are exempt, because the number of pending restrictions of an instance is bounded.
	changeRate  = 100 // changes per second
	changeBurst = 200 // changes

	// changeTimeout bounds a change with all that it waits for: the changes before it, the log of earlier terms, the first
	// settings and a quorum.
	changeTimeout = 2 * quorumTimeout

	// snapshotInterval is the time between two checks of whether the log is long enough for a snapshot.
	snapshotInterval = 30 * time.Second
	// defaultTrailingLogs is the number of entries kept for followers that are behind. A follower that is further
	// behind gets the snapshot.
	defaultTrailingLogs = 1024
	// maxAppendEntries is the maximum number of entries in one message to a follower. With MaxCommandBytes it bounds a
	// message to 16 MiB; the library's default is 64 entries.
	maxAppendEntries = 16
)

// Errors of a change that exceeds a limit.
var (
	// ErrTooLarge is returned if the encoded command exceeds MaxCommandBytes.
	ErrTooLarge = errors.New("store: the change is too large")
	// ErrRateLimited is returned if the changes of clients exceed the rate limit.
	ErrRateLimited = errors.New("store: too many changes at a time; retry later")
)

// newChangeLimiter returns the rate limiter for the changes that clients make at one instance.
func newChangeLimiter() *rate.Limiter { return rate.NewLimiter(changeRate, changeBurst) }

// checkRateLimit returns ErrRateLimited if a client's change exceeds the rate limit.
func (s *Store) checkRateLimit() error {
	if !s.changeLimiter.Allow() {
		return fmt.Errorf("%w: the limit is %d changes per second", ErrRateLimited, changeRate)
	}
	return nil
}

// applyLimits sets how many entries the log keeps, when a snapshot is taken, and how many entries one message holds.
func (c *Config) applyLimits(rc *raft.Config) {
	trailing := uint64(defaultTrailingLogs)
	if c.TrailingLogs != 0 {
		trailing = uint64(c.TrailingLogs)
	}
	rc.SnapshotInterval = snapshotInterval
	rc.SnapshotThreshold = trailing
	rc.TrailingLogs = trailing
	rc.MaxAppendEntries = maxAppendEntries
}
