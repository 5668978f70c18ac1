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

// Keys of the stable store: the library's own, and ours for the number of starts on this disk.
var (
	keyCurrentTerm = []byte("CurrentTerm")
	keyBootCount   = []byte("linkpass.boots")
)

// recordBoot counts this start on the disk and reports the disk's position to the other members. It has to come
// before the Raft node may vote. The error wraps rollback.ErrRolledBack where a member has seen a later position.
func (s *Store) recordBoot(snapshots raft.SnapshotStore) error {
	position, err := s.diskPosition(snapshots)
	if err != nil {
		return err
	}
	boots, err := s.readStable(keyBootCount)
	if err != nil {
		return err
	}
	boots++
	if err := s.bolt.SetUint64(keyBootCount, boots); err != nil {
		return fmt.Errorf("store: write boot count: %w", err)
	}
	s.positions.startReport = rollback.Report{
		ID:          s.config.ID,
		Incarnation: boots,
		Nonce:       rand.Uint64(),
		AtStart:     position,
		Current:     position,
	}
	return s.positions.broadcast(context.Background(), s.config.Members, s.positions.startReport)
}

// diskPosition is how far the log and the snapshots on disk reach.
func (s *Store) diskPosition(snapshots raft.SnapshotStore) (rollback.Position, error) {
	term, err := s.readStable(keyCurrentTerm)
	if err != nil {
		return rollback.Position{}, err
	}
	last, err := s.bolt.LastIndex()
	if err != nil {
		return rollback.Position{}, fmt.Errorf("store: log: last index: %w", err)
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

// readStable reads a number of the stable store; 0 where it was never written.
func (s *Store) readStable(key []byte) (uint64, error) {
	value, err := s.bolt.GetUint64(key)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return 0, fmt.Errorf("store: read %s: %w", key, err)
	}
	return value, nil
}
