// Package store replicates the configuration state (settings, servers, restrictions and shard maps) among a few
// instances with Raft, keeps it on disk and serves reads of it.
//
// It owns the Raft node, its log and snapshots, the membership of the cluster, and the detection of members whose
// disk was rolled back to an old image. It does not define the state or its commands (package config does), serves
// no HTTP, and is not on the path of a search: routing goes on with the last known settings when the store is down.
package store

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"golang.org/x/time/rate"

	"linkpass/internal/config"
	"linkpass/internal/eventlog"
	"linkpass/internal/searchconfig"
)

// Store is one instance. Its methods may be called concurrently.
type Store struct {
	config    Config
	raft      *raft.Raft
	bolt      *raftboltdb.BoltStore
	fsm       *fsm
	positions *positionReporter
	limiter   *rate.Limiter // of changes that clients make

	barrierTerm atomic.Uint64 // the term in which every entry of earlier terms was applied

	// proposing serializes proposals, so that each is based on the state that the one before it left: whoever has
	// filled it proposes. It is a channel so that a context can end the wait.
	proposing chan struct{}
}

// Open starts an instance; one with no state of its own bootstraps with the configured members, unless Join is set.
func Open(c Config) (*Store, error) {
	self, err := c.prepare()
	if err != nil {
		return nil, err
	}
	bolt, err := openLog(c.Dir, nil)
	if err != nil {
		return nil, fmt.Errorf("store: log: %w", err)
	}
	s := &Store{
		config:    c,
		bolt:      bolt,
		fsm:       newFSM(c.initialSettings()),
		positions: newPositionReporter(c.ID, c.ReportPosition),
		limiter:   newChangeLimiter(),
		proposing: make(chan struct{}, 1),
	}
	s.fsm.onSettingsChanged = c.OnSettingsChanged
	s.fsm.onApplied = c.OnApplied
	if err := s.startRaft(self); err != nil {
		_ = bolt.Close()
		return nil, err
	}
	s.positions.start(s.currentPosition, s.Members, s.haltRolledBack)
	return s, nil
}

// startRaft records this start of the instance, and then starts its Raft node: the start must be reported to the other
// members before the node may vote.
func (s *Store) startRaft(self Member) error {
	logger := eventlog.RaftLogger()
	snapshots, err := openSnapshots(s.config.Dir, logger)
	if err != nil {
		return err
	}
	if err := s.recordBoot(snapshots); err != nil {
		return err
	}
	transport, err := s.newTransport(self, logger)
	if err != nil {
		return err
	}
	if err := s.startNode(snapshots, transport, logger); err != nil {
		_ = transport.Close()
		return err
	}
	return nil
}

// newTransport listens on this member's address, or takes over the configured listener.
func (s *Store) newTransport(self Member, logger hclog.Logger) (*raft.NetworkTransport, error) {
	listener := s.config.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", self.Raft); err != nil {
			return nil, fmt.Errorf("store: transport: %w", err)
		}
	}
	return newNetworkTransport(listener, logger), nil
}

// startNode bootstraps a new cluster where that is due, and starts the Raft node.
func (s *Store) startNode(snapshots raft.SnapshotStore, transport raft.Transport, logger hclog.Logger) error {
	rc := s.config.raftConfig(logger)
	existing, err := raft.HasExistingState(s.bolt, s.bolt, snapshots)
	if err != nil {
		return fmt.Errorf("store: look for existing state: %w", err)
	}
	if !existing && !s.config.Join {
		err := raft.BootstrapCluster(rc, s.bolt, s.bolt, snapshots, transport, s.config.bootstrapConfiguration())
		if err != nil {
			return fmt.Errorf("store: bootstrap: %w", err)
		}
	}
	s.raft, err = raft.NewRaft(rc, s.fsm, s.bolt, s.bolt, snapshots, transport)
	if err != nil {
		return fmt.Errorf("store: start raft: %w", err)
	}
	return nil
}

// Close stops the instance and waits for its goroutines; its state stays on disk.
func (s *Store) Close() error {
	s.positions.stop()
	err := s.raft.Shutdown().Error()
	if closeErr := s.bolt.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("store: close: %w", err)
	}
	return nil
}

// ID is this instance's own id.
func (s *Store) ID() string { return s.config.ID }

// Settings are the settings as this instance has applied them, without confirmation by a quorum.
func (s *Store) Settings() *searchconfig.Config { return s.State().Settings() }

// State is all replicated state as this instance has applied it, without confirmation by a quorum.
func (s *Store) State() *config.State { return s.fsm.current.Load() }
