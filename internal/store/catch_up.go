package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// ErrNotCaughtUp is returned until this instance has applied, after its start, all that was committed before. Its
// settings may be older than those that the other instances act on.
var ErrNotCaughtUp = errors.New("store: not caught up with the committed settings since the start")

const (
	// catchUpInterval is the time between two checks of whether this instance has caught up.
	catchUpInterval = 10 * time.Millisecond
	// leaderVersionInterval is the time between two calls of Config.LeaderVersion.
	leaderVersionInterval = 100 * time.Millisecond
	leaderVersionTimeout  = 300 * time.Millisecond // of one call
)

// CaughtUp returns nil once this instance has applied all entries that were committed before its start. The error wraps
// ErrNotCaughtUp and says what is awaited. An instance that starts without any state on disk has caught up, unless it
// joins a running store. It does not wait.
func (s *Store) CaughtUp() error {
	if s.caughtUp.Load() {
		return nil
	}
	if err := s.fsm.haltedErr(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotCaughtUp, err)
	}
	if leader := s.Leader(); leader != "" {
		return fmt.Errorf("%w: waiting for the log of leader %s", ErrNotCaughtUp, leader)
	}
	return fmt.Errorf("%w: no leader is known", ErrNotCaughtUp)
}

// CaughtUpSettings returns the settings that this instance has applied, or the error of CaughtUp. Later on, an instance
// that loses contact with the leader keeps the settings last known.
func (s *Store) CaughtUpSettings() (*searchconfig.Config, error) {
	if err := s.CaughtUp(); err != nil {
		return nil, err
	}
	return s.Settings(), nil
}

// awaitCatchUp checks every catchUpInterval whether this instance has caught up, until it has or the context ends.
func (s *Store) awaitCatchUp(ctx context.Context) {
	started := time.Now()
	var lastCall time.Time
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for !s.checkCaughtUp(ctx) {
		if time.Since(lastCall) >= leaderVersionInterval {
			if s.matchesLeader(ctx) {
				break
			}
			lastCall = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	s.caughtUp.Store(true)
	eventlog.StoreCaughtUp.Log(s.State().Version(), time.Since(started).Milliseconds())
}

// checkCaughtUp reports whether this instance has applied all entries that were committed before its start.
//
// A leader has, once it has applied the entries of earlier terms. A follower has, once it has applied the entries up to
// a commit index that the leader has told since the start, if the entry at that index is of the leader's own term: a
// new leader's commit index may be lower than that of the leader before it until it has committed such an entry.
func (s *Store) checkCaughtUp(ctx context.Context) bool {
	if s.fsm.haltedErr() != nil {
		return false
	}
	if s.IsLeader() {
		return s.awaitEarlierTerms(ctx, "catch up") == nil
	}
	commit := s.transport.leaderCommit()
	return commit.index > 0 && s.termAt(commit.index) == commit.term && s.hasApplied(commit.index)
}

// othersHaveState asks the other configured members, and reports whether one of them has applied a command. It takes
// leaderVersionTimeout at most.
func (s *Store) othersHaveState() bool {
	if s.config.MemberVersion == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaderVersionTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var found atomic.Bool
	for _, m := range s.config.Members {
		if m.ID == s.config.ID || m.HTTP == "" {
			continue
		}
		asking.Go(func() {
			if version, err := s.config.MemberVersion(ctx, m); err == nil && version > 0 {
				found.Store(true)
			}
		})
	}
	asking.Wait()
	return found.Load()
}

// matchesLeader reports whether the current state is the one that the leader has, after a quorum has confirmed it. Two
// states of the same version are equal, as both are the effect of the same committed entries. The leader is asked
// because it sends the log to a follower that it could not reach only after a wait, which grows to several seconds.
func (s *Store) matchesLeader(ctx context.Context) bool {
	var notLeader *NotLeaderError
	if s.config.LeaderVersion == nil || !errors.As(s.checkLeader(), &notLeader) || notLeader.Leader.HTTP == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderVersionTimeout)
	defer cancel()
	version, err := s.config.LeaderVersion(ctx, notLeader.Leader)
	return err == nil && version == s.State().Version()
}

// ConfirmedVersion returns the version of the state of ConfirmLeader.
func (s *Store) ConfirmedVersion(ctx context.Context) (uint64, error) {
	leader, err := s.ConfirmLeader(ctx)
	if err != nil {
		return 0, err
	}
	return leader.State.Version(), nil
}

// termAt returns the term of the entry at an index; 0 if the entry is neither in the log nor the last of a snapshot.
func (s *Store) termAt(index uint64) uint64 {
	var entry raft.Log
	if err := s.bolt.GetLog(index, &entry); err == nil {
		return entry.Term
	}
	if meta := s.latestSnapshot(); meta.Index == index {
		return meta.Term
	}
	return 0
}

// hasApplied reports whether the current state has the effect of all entries up to an index. The Raft library's applied
// index tells which entries are queued for the FSM, so the FSM's own index decides; entries without a command are not
// passed to the FSM.
func (s *Store) hasApplied(index uint64) bool {
	if s.raft.AppliedIndex() < index {
		return false
	}
	for i := index; i > max(s.fsm.appliedIndex.Load(), s.appliedUpTo.Load()); i-- {
		var entry raft.Log
		if err := s.bolt.GetLog(i, &entry); err != nil || entry.Type == raft.LogCommand {
			if s.latestSnapshot().Index >= i {
				break // the FSM was restored from the snapshot before Raft's applied index reached it
			}
			return false
		}
	}
	s.appliedUpTo.Store(max(index, s.appliedUpTo.Load()))
	return true
}

// latestSnapshot returns the metadata of the latest snapshot, or empty metadata if there is none.
func (s *Store) latestSnapshot() raft.SnapshotMeta {
	list, err := s.snapshots.List()
	if err != nil || len(list) == 0 {
		return raft.SnapshotMeta{}
	}
	return *list[0]
}
