package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"linkpass/internal/searchconfig"
)

// ReadOptions select the consistency of a read.
type ReadOptions struct {
	Consistency string        // Linearizable, Lease, Stale or Local; "" means Linearizable
	MaxAge      time.Duration // of Stale
}

// The consistency levels of reads.
const (
	// Linearizable confirms with a quorum that this instance still leads: one call to every member, no reliance on
	// clocks.
	Linearizable = "linearizable"
	// Lease relies on the leader's lease: no call, but clocks must not drift apart by more than the lease while it
	// lasts.
	Lease = "lease"
	// Stale reads at any instance that had contact with the leader within MaxAge and has applied all that it knows to
	// be committed.
	Stale = "stale"
	// Local reads what this instance has applied, however old.
	Local = "local"
)

// DefaultMaxAge bounds a stale read that names no bound.
const DefaultMaxAge = 5 * time.Second

// ErrStale is the error of a stale read at an instance that is too far behind.
var ErrStale = errors.New("store: the state of this instance may be older than the read allows")

// ParseReadOptions parses the query parameters read and max_age. local=true is the older form of read=local.
func ParseReadOptions(v url.Values) (ReadOptions, error) {
	r := ReadOptions{Consistency: v.Get("read"), MaxAge: DefaultMaxAge}
	if v.Get("local") == "true" {
		r.Consistency = Local
	}
	switch r.Consistency {
	case "":
		r.Consistency = Linearizable
	case Linearizable, Lease, Stale, Local:
	default:
		return r, fmt.Errorf("read %.40q is none of linearizable, lease, stale and local", r.Consistency)
	}
	if text := v.Get("max_age"); text != "" {
		maxAge, err := time.ParseDuration(text)
		if err != nil || maxAge <= 0 || r.Consistency != Stale {
			return r, fmt.Errorf("max_age %.40q must be a duration above 0, and needs read=stale", text)
		}
		r.MaxAge = maxAge
	}
	return r, nil
}

// readOperation names a read in errors.
const readOperation = "read settings"

// Read returns the settings with linearizable consistency. Only the leader can serve it.
func (s *Store) Read(ctx context.Context) (*searchconfig.Config, error) {
	if err := s.verifyLeader(ctx, readOperation); err != nil {
		return nil, err
	}
	if err := s.barrier(ctx, readOperation); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}

// ReadWith returns the settings with the consistency that is asked for. Stale reads at a follower and Local ones wait
// for nothing: they succeed also if the context has ended.
func (s *Store) ReadWith(ctx context.Context, r ReadOptions) (*searchconfig.Config, error) {
	switch r.Consistency {
	case Lease:
		return s.readLease(ctx)
	case Stale:
		return s.readStale(ctx, r.MaxAge)
	case Local:
		return s.Settings(), nil
	default:
		return s.Read(ctx)
	}
}

// readLease reads at the leader. Entries committed before its term must have been applied: one barrier a term ensures
// it.
func (s *Store) readLease(ctx context.Context) (*searchconfig.Config, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	if term := s.raft.CurrentTerm(); s.barrierTerm.Load() != term {
		if err := s.barrier(ctx, readOperation); err != nil {
			return nil, err
		}
		s.barrierTerm.Store(term)
	}
	settings := s.Settings()
	return settings, s.checkLeader() // the lease may have ended while the settings were read
}

// readStale reads at any instance, if its state is recent enough.
func (s *Store) readStale(ctx context.Context, maxAge time.Duration) (*searchconfig.Config, error) {
	if err := s.fsm.haltedErr(); err != nil {
		return nil, err
	}
	if s.IsLeader() {
		return s.readLease(ctx)
	}
	// Loaded before the settings, so that entries committed meanwhile can't make the settings older than the bound.
	lastContact, committed := s.raft.LastContact(), s.raft.CommitIndex()
	if age := time.Since(lastContact); lastContact.IsZero() || age > maxAge {
		return nil, fmt.Errorf("%w: last contact with the leader was %s ago, the bound is %s",
			ErrStale, age.Round(time.Millisecond), maxAge)
	}
	if applied := s.raft.AppliedIndex(); applied < committed {
		return nil, fmt.Errorf("%w: %d committed entries are not applied yet", ErrStale, committed-applied)
	}
	return s.Settings(), nil
}
