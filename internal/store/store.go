// Package store replicates the configuration state (settings, servers, restrictions and shard maps) among a few
// instances with Raft, keeps it on disk and serves reads of it.
//
// It owns the Raft node, its log and snapshots, the membership of the cluster, and the detection of members whose
// disk was rolled back to an old image. It does not define the state or its commands (package config does) and does not
// serve HTTP. It is not on the path of a search: while the store is down, routing continues with the last known
// settings. A process does not know them until it has caught up with the log once (CaughtUp).
package store

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"golang.org/x/time/rate"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// Store is one instance of the replicated store. Its methods may be called concurrently. Use Open to create one.
type Store struct {
	config        Config
	raft          *raft.Raft
	bolt          *raftboltdb.BoltStore
	snapshots     raft.SnapshotStore
	transport     *commitObserver
	fsm           *fsm
	reporter      *positionReporter
	changeLimiter *rate.Limiter // limits the changes that clients make
	changeTimeout time.Duration // changeTimeout, shorter in tests

	// barrierTerm is the last term in which awaitEarlierTerms completed a barrier: all entries committed in earlier
	// terms are applied here. It is 0 before the first barrier.
	barrierTerm atomic.Uint64

	// leaderLease is Raft's LeaderLeaseTimeout, which is at most the time after which a follower that does not hear from
	// the leader starts an election.
	leaderLease time.Duration
	// caughtUp is set once this instance has applied all entries that were committed before its start. It is never
	// reset: an instance that loses contact with the leader later keeps the state last known.
	caughtUp atomic.Bool
	// appliedUpTo is an index up to which hasApplied has found all entries applied.
	appliedUpTo  atomic.Uint64
	stopCatchUp  context.CancelFunc // ends the goroutine of awaitCatchUp
	catchUpEnded sync.WaitGroup     // of the goroutine of awaitCatchUp

	// proposalLock is the proposal lock: it serializes proposals, so that each is based on the state after the previous
	// one. A caller holds the lock while its element is in the channel, whose capacity is 1. It is a channel rather
	// than a mutex so that a context can end the wait.
	proposalLock chan struct{}
}

// Open starts an instance. If it has no state on disk, it bootstraps a cluster of the configured members, unless Join
// is set. The error wraps rollback.ErrRolledBack if a member has seen this instance at a later position than its disk
// has.
func Open(c Config) (*Store, error) {
	self, err := c.prepare()
	if err != nil {
		return nil, err
	}
	bolt, err := openLog(c.Dir, nil)
	if err != nil {
		return nil, fmt.Errorf("store: open log: %w", err)
	}
	s := &Store{
		config:        c,
		bolt:          bolt,
		fsm:           newFSM(c.initialSettings()),
		reporter:      newPositionReporter(c.ID, c.ReportPosition),
		changeLimiter: newChangeLimiter(),
		changeTimeout: changeTimeout,
		proposalLock:  make(chan struct{}, 1),
	}
	s.fsm.onSettingsChanged = c.OnSettingsChanged
	s.fsm.onApplied = c.OnApplied
	s.fsm.recordIndex = s.recordAppliedIndex
	if err := s.startRaft(self); err != nil {
		_ = bolt.Close()
		return nil, err
	}
	s.reporter.start(s.currentPosition, s.Members, s.haltRolledBack)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopCatchUp = cancel
	if !s.caughtUp.Load() {
		s.catchUpEnded.Go(func() { s.awaitCatchUp(ctx) })
	}
	return s, nil
}

// startRaft restores the state that this instance had applied, records this start, and then starts the Raft node. The
// order matters: the start must be reported to the other members before the node is able to vote, and the state must be
// restored before the node applies entries.
func (s *Store) startRaft(self Member) error {
	logger := eventlog.RaftLogger()
	snapshots, err := openSnapshots(s.config.Dir, logger)
	if err != nil {
		return err
	}
	s.snapshots = snapshots
	restored, err := restoreState(s.bolt, snapshots, s.config.initialState())
	if err != nil {
		return err
	}
	eventlog.StoreStateRestored.Log(restored.state.Version(), restored.index)
	s.fsm.setRestored(restored)
	if err := s.recordBoot(snapshots); err != nil {
		return err
	}
	transport, err := s.newTransport(self, logger)
	if err != nil {
		return err
	}
	s.transport = newCommitObserver(transport)
	if err := s.startNode(logger); err != nil {
		_ = s.transport.Close()
		return err
	}
	return nil
}

// newTransport returns a transport on the configured listener, or on a new one at this member's Raft address.
func (s *Store) newTransport(self Member, logger hclog.Logger) (*raft.NetworkTransport, error) {
	listener := s.config.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", self.Raft); err != nil {
			return nil, fmt.Errorf("store: listen for Raft traffic: %w", err)
		}
	}
	return newNetworkTransport(listener, logger), nil
}

// startNode starts the Raft node. If there is no state on disk and Join is not set, it bootstraps a new cluster first:
// nothing was committed before then, unless another member says so.
func (s *Store) startNode(logger hclog.Logger) error {
	rc := s.config.raftConfig(logger)
	s.leaderLease = rc.LeaderLeaseTimeout
	existing, err := raft.HasExistingState(s.bolt, s.bolt, s.snapshots)
	if err != nil {
		return fmt.Errorf("store: check for existing state: %w", err)
	}
	if !existing && !s.config.Join {
		err := raft.BootstrapCluster(rc, s.bolt, s.bolt, s.snapshots, s.transport, s.config.bootstrapConfiguration())
		if err != nil {
			return fmt.Errorf("store: bootstrap: %w", err)
		}
		if err := raiseTerm(s.bolt, time.Now()); err != nil {
			return err
		}
		s.caughtUp.Store(!s.othersHaveState())
	}
	s.raft, err = raft.NewRaft(rc, s.fsm, s.bolt, s.bolt, s.snapshots, s.transport)
	if err != nil {
		return fmt.Errorf("store: start raft: %w", err)
	}
	return nil
}

// Close stops the instance and waits for its goroutines. Its state stays on disk.
func (s *Store) Close() error {
	s.reporter.stop()
	s.stopCatchUp()
	s.catchUpEnded.Wait()
	err := s.raft.Shutdown().Error()
	if closeErr := s.bolt.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("store: close: %w", err)
	}
	return nil
}

// ID returns this instance's id.
func (s *Store) ID() string { return s.config.ID }

// Settings returns the settings that this instance has applied, without confirmation by a quorum.
func (s *Store) Settings() *searchconfig.Config { return s.State().Settings() }

// State returns all replicated state that this instance has applied, without confirmation by a quorum.
func (s *Store) State() *config.State { return s.fsm.current.Load() }
