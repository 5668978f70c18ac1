package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"linkpass/internal/searchconfig"
)

// ReadOptions selects the consistency of a read.
type ReadOptions struct {
	Consistency string        // Linearizable, Lease, Stale or Local; "" means Linearizable
	MaxAge      time.Duration // maximum time since the last contact with the leader; used by Stale alone
}

// Consistency levels of reads.
const (
	// Linearizable reads at the leader, after a quorum has confirmed that this instance still is the leader. It costs
	// one call to every member and does not depend on clocks.
	Linearizable = "linearizable"
	// Lease reads at the leader and relies on its lease. It costs no call, but the clocks of the members must not drift
	// apart by more than the lease while it lasts.
	Lease = "lease"
	// Stale reads at any instance that had contact with the leader within MaxAge and has applied all entries that it
	// knows to be committed.
	Stale = "stale"
	// Local reads what this instance has applied, regardless of its age.
	Local = "local"
)

// DefaultMaxAge is the MaxAge of a stale read whose query parameters do not set max_age.
const DefaultMaxAge = 5 * time.Second

// ErrStale is the error of a stale read at an instance whose state may be older than ReadOptions.MaxAge, or that has
// not applied all entries that it knows to be committed.
var ErrStale = errors.New("store: the state of this instance may be older than the read allows")

// ParseReadOptions parses the query parameters read and max_age; their defaults are Linearizable and DefaultMaxAge.
// local=true is the older form of read=local.
func ParseReadOptions(v url.Values) (ReadOptions, error) {
	options := ReadOptions{Consistency: v.Get("read"), MaxAge: DefaultMaxAge}
	if v.Get("local") == "true" {
		options.Consistency = Local
	}
	switch options.Consistency {
	case "":
		options.Consistency = Linearizable
	case Linearizable, Lease, Stale, Local:
	default:
		return options, fmt.Errorf("read %.40q must be linearizable, lease, stale or local", options.Consistency)
	}
	if text := v.Get("max_age"); text != "" {
		maxAge, err := time.ParseDuration(text)
		if err != nil || maxAge <= 0 || options.Consistency != Stale {
			return options, fmt.Errorf("max_age %.40q must be a positive duration and requires read=stale", text)
		}
		options.MaxAge = maxAge
	}
	return options, nil
}

// readOperation is the name of a read in error messages.
const readOperation = "read settings"

// Read returns the settings with Linearizable consistency. Only the leader can serve it; other instances
// return *NotLeaderError or ErrNoLeader.
func (s *Store) Read(ctx context.Context) (*searchconfig.Config, error) {
	if err := s.verifyLeader(ctx, readOperation); err != nil {
		return nil, err
	}
	if err := s.barrier(ctx, readOperation); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}

// ReadWith returns the settings with the requested consistency. Stale reads at a follower and Local reads do not wait,
// so they succeed even if the context has ended.
func (s *Store) ReadWith(ctx context.Context, options ReadOptions) (*searchconfig.Config, error) {
	switch options.Consistency {
	case Lease:
		return s.readLease(ctx)
	case Stale:
		return s.readStale(ctx, options.MaxAge)
	case Local:
		return s.Settings(), nil
	default:
		return s.Read(ctx)
	}
}

// readLease reads at the leader, once it has applied all entries that were committed in earlier terms.
func (s *Store) readLease(ctx context.Context) (*searchconfig.Config, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	if err := s.awaitEarlierTerms(ctx, readOperation); err != nil {
		return nil, err
	}
	settings := s.Settings()
	return settings, s.checkLeader() // the lease may have ended while the settings were read
}

// readStale reads at any instance. It returns ErrStale if the state is not recent enough.
func (s *Store) readStale(ctx context.Context, maxAge time.Duration) (*searchconfig.Config, error) {
	if err := s.fsm.haltedErr(); err != nil {
		return nil, err
	}
	if s.IsLeader() {
		return s.readLease(ctx)
	}
	// After a start, heartbeats come before the log: they are contact with the leader, but they tell no commit index.
	if err := s.CaughtUp(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStale, err)
	}
	// Loaded before the settings, so that entries committed in between cannot make the settings older than maxAge.
	lastContact, committed := s.raft.LastContact(), s.raft.CommitIndex()
	if age := time.Since(lastContact); lastContact.IsZero() || age > maxAge {
		return nil, fmt.Errorf("%w: last contact with the leader was %s ago, the limit is %s",
			ErrStale, age.Round(time.Millisecond), maxAge)
	}
	if !s.hasApplied(committed) {
		return nil, fmt.Errorf("%w: committed entries are not applied yet", ErrStale)
	}
	return s.Settings(), nil
}
