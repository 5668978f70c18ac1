package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"
)

// MaxCommandBytes bounds the encoded size of one command.
const MaxCommandBytes = 1 << 20

const (
	// Every member writes each change to disk, so clients' changes are limited. Restrictions on servers (drain,
	// remove) are exempt: each instance has only a bounded number of those pending.
	changeRate  = 100 // a second
	changeBurst = 200

	snapshotInterval = 30 * time.Second // between two checks of whether the log is long enough for a snapshot
	// defaultTrailingLogs is how many entries are kept for followers that are behind; past that they get the snapshot.
	defaultTrailingLogs = 1024
	// maxAppendEntries bounds one message to a follower to 16 MiB; the library's own bound is 64 entries.
	maxAppendEntries = 16
)

// Errors of a change that is over a limit.
var (
	ErrTooLarge = errors.New("store: the change is too large")
	ErrBusy     = errors.New("store: too many changes at a time, ask again in a moment")
)

// newChangeLimiter limits the changes that clients make at one instance.
func newChangeLimiter() *rate.Limiter { return rate.NewLimiter(changeRate, changeBurst) }

// admit returns ErrBusy where a client's change is over the rate limit.
func (s *Store) admit() error {
	if !s.limiter.Allow() {
		return fmt.Errorf("%w: the limit is %d a second", ErrBusy, changeRate)
	}
	return nil
}

// applyLimits sets how much of the log is kept, and how much of it is sent in one message.
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
