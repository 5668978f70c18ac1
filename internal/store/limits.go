package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"
)

// Limits on what clients may put into the log. Orders on servers (drain, remove) are not held up by them: the instances
// have at most a bounded number of those unsettled.
const (
	MaxCommandBytes = 1 << 20 // bytes of an entry
	// Changes a second, and at once after a pause: each is written to disk by every instance.
	changeRate, changeBurst = 100, 200

	snapshotInterval    = 30 * time.Second // between two looks at whether the log is long enough for a snapshot
	defaultTrailingLogs = 1024             // entries for followers that are behind; past that they get the snapshot
	maxAppendEntries    = 16               // entries in one message to a follower, 16 MiB of them at the most; the library's own bound is 64
)

// Errors of a change that is over a limit.
var (
	ErrTooLarge = errors.New("store: the change is too large")
	ErrBusy     = errors.New("store: too many changes at a time, ask again in a moment")
)

// newChangeLimiter bounds the changes that clients make at this instance.
func newChangeLimiter() *rate.Limiter { return rate.NewLimiter(changeRate, changeBurst) }

// admit tells whether one more change of a client may be made now.
func (s *Store) admit() error {
	if !s.limiter.Allow() {
		return fmt.Errorf("%w: %d a second are taken", ErrBusy, changeRate)
	}
	return nil
}

// bound sets how much of the log is kept and sent at once.
func (c *Config) bound(rc *raft.Config) {
	kept := c.TrailingLogs
	if kept == 0 {
		kept = defaultTrailingLogs
	}
	rc.SnapshotInterval, rc.SnapshotThreshold, rc.TrailingLogs, rc.MaxAppendEntries = snapshotInterval, uint64(kept), uint64(kept), maxAppendEntries
}
