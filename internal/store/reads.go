package store

import (
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/searchconfig"
)

// ReadOptions is how sure a read is to be.
type ReadOptions struct {
	Consistency string        // Linearizable, Lease, Stale or Local; "": Linearizable
	MaxAge      time.Duration // of Stale
}

// The kinds of reads.
const (
	// Linearizable asks a majority whether this instance still leads: a call to every member, and no clock.
	Linearizable = "linearizable"
	// Lease trusts the leader's lease: no call, but clocks must not run apart by more than the lease while it lasts.
	Lease = "lease"
	// Stale reads at any instance that heard from the leader within MaxAge and has applied what it knows to be committed.
	Stale = "stale"
	// Local reads what this instance has, however old.
	Local = "local"
)

// DefaultMaxAge bounds a stale read that names no bound.
const DefaultMaxAge = 5 * time.Second

// ErrStale says that this instance is too far behind for the read.
var ErrStale = errors.New("store: what this instance has may be older than was asked for")

// ParseReadOptions reads the parameters read and max_age of a call; local=true is an older word for read=local.
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
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || r.Consistency != Stale {
			return r, fmt.Errorf("max_age %.40q is no time above 0, or the read is not stale", text)
		}
		r.MaxAge = d
	}
	return r, nil
}

// ReadWith is the catalog, as sure as is asked for.
func (s *Store) ReadWith(r ReadOptions) (*searchconfig.Config, error) {
	switch r.Consistency {
	case Lease:
		return s.readLease()
	case Stale:
		return s.readStale(r.MaxAge)
	case Local:
		return s.Settings(), nil
	}
	return s.Read()
}

// readLease reads at the leader. What was committed before its term must have been applied: that is waited for once a term.
func (s *Store) readLease() (*searchconfig.Config, error) {
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	if term := s.raft.CurrentTerm(); s.barrierTerm.Load() != term {
		if err := s.await(s.raft.Barrier(applyTimeout)); err != nil {
			return nil, err
		}
		s.barrierTerm.Store(term)
	}
	c := s.Settings()
	return c, s.checkLeader() // it may have ended while the document was taken
}

// readStale reads here, if what is here is young enough.
func (s *Store) readStale(maxAge time.Duration) (*searchconfig.Config, error) {
	if why := s.fsm.halted.Load(); why != nil {
		return nil, *why
	}
	if s.raft.State() == raft.Leader {
		return s.readLease()
	}
	// Taken before the document: what is committed later makes the document older than this look, not than the bound.
	heard, committed := s.raft.LastContact(), s.raft.CommitIndex()
	if age := time.Since(heard); heard.IsZero() || age > maxAge {
		return nil, fmt.Errorf("%w: the leader was last heard %s ago, %s at most is asked for", ErrStale, age.Round(time.Millisecond), maxAge)
	}
	if applied := s.raft.AppliedIndex(); applied < committed {
		return nil, fmt.Errorf("%w: %d entries are to be applied", ErrStale, committed-applied)
	}
	return s.Settings(), nil
}
