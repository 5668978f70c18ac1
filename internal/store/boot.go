package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config/rollback"
)

// Keys of Raft's stable store. keyCurrentTerm belongs to the Raft library; keyBootCount holds the number of times that
// an instance was started on this disk.
var (
	keyCurrentTerm = []byte("CurrentTerm")
	keyBootCount   = []byte("linkpass.boots")
)

// recordBoot increments the boot count on disk and reports the disk's position to the other members. It must be called
// before the Raft node is able to vote. The error wraps rollback.ErrRolledBack if a member has seen a later position.
func (s *Store) recordBoot(snapshots raft.SnapshotStore) error {
	position, err := s.diskPosition(snapshots)
	if err != nil {
		return err
	}
	boots, err := readStable(s.bolt, keyBootCount)
	if err != nil {
		return err
	}
	boots++
	if err := s.bolt.SetUint64(keyBootCount, boots); err != nil {
		return fmt.Errorf("store: write boot count: %w", err)
	}
	s.reporter.startReport = rollback.Report{
		ID:          s.config.ID,
		Incarnation: boots,
		Nonce:       rand.Uint64(),
		AtStart:     position,
		Current:     position,
	}
	return s.reporter.broadcast(context.Background(), s.config.Members, s.reporter.startReport)
}

// diskPosition returns the current term and the last index that the log or a snapshot on disk holds.
func (s *Store) diskPosition(snapshots raft.SnapshotStore) (rollback.Position, error) {
	term, err := readStable(s.bolt, keyCurrentTerm)
	if err != nil {
		return rollback.Position{}, err
	}
	last, err := s.bolt.LastIndex()
	if err != nil {
		return rollback.Position{}, fmt.Errorf("store: read last index of the log: %w", err)
	}
	list, err := snapshots.List()
	if err != nil {
		return rollback.Position{}, fmt.Errorf("store: list snapshots: %w", err)
	}
	for _, meta := range list {
		last = max(last, meta.Index)
	}
	return rollback.Position{Term: term, Index: last}, nil
}

// readStable reads a number from the stable store. It returns 0 if the key was never written.
func readStable(bolt *raftboltdb.BoltStore, key []byte) (uint64, error) {
	value, err := bolt.GetUint64(key)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return 0, fmt.Errorf("store: read %s: %w", key, err)
	}
	return value, nil
}
