package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"linkpass/internal/config/rollback"
	"linkpass/internal/eventlog"
)

const (
	reportInterval = time.Second            // between two reports of how far this instance is, to each other one
	reportTimeout  = 300 * time.Millisecond // for one
)

// Keys of the stable store: the library's own, and that of the starts on this disk.
var (
	keyCurrentTerm = []byte("CurrentTerm")
	keyBootCount   = []byte("linkpass.boots")
)

// positionReporter is an instance's part in finding disks that are old.
type positionReporter struct {
	startReport rollback.Report
	mu          sync.Mutex // guards heard
	detector    *rollback.Detector
	cancel      context.CancelFunc
	ended       sync.WaitGroup
}

// mark reads how far the disk is and counts this start on it. It comes before Raft may vote.
func (s *Store) mark(snaps raft.SnapshotStore) error {
	term, err := s.stable(keyCurrentTerm)
	if err != nil {
		return err
	}
	boots, err := s.stable(keyBootCount)
	if err != nil {
		return err
	}
	last, err := s.bolt.LastIndex()
	if err != nil {
		return fmt.Errorf("store: log: %w", err)
	}
	list, err := snaps.List()
	if err != nil {
		return fmt.Errorf("store: snapshots: %w", err)
	}
	for _, m := range list {
		last = max(last, m.Index)
	}
	if err := s.bolt.SetUint64(keyBootCount, boots+1); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	at := rollback.Position{Term: term, Index: last}
	s.positions.startReport = rollback.Report{ID: s.config.ID, Incarnation: boots + 1, Nonce: rand.Uint64(), AtStart: at, Current: at}
	return s.report(context.Background(), s.config.Members, s.positions.startReport)
}

// stable is a number of the stable store; 0 where it was never written.
func (s *Store) stable(key []byte) (uint64, error) {
	v, err := s.bolt.GetUint64(key)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return 0, fmt.Errorf("store: %s: %w", key, err)
	}
	return v, nil
}

// report tells every other instance how far this one is. What cannot be reached is passed over; the error is that of one
// which has seen this instance further than its disk was.
func (s *Store) report(ctx context.Context, members []Member, r rollback.Report) error {
	if s.config.ReportPosition == nil {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	errs := make([]error, len(members))
	var all sync.WaitGroup
	for i, m := range members {
		if m.ID != s.config.ID && m.HTTP != "" {
			all.Go(func() { errs[i] = s.config.ReportPosition(call, m, r) })
		}
	}
	all.Wait()
	for i, err := range errs {
		if errors.Is(err, rollback.ErrRolledBack) {
			return fmt.Errorf("store: %s says: %w", members[i].ID, err)
		}
	}
	return nil
}

// keepReporting reports for as long as the store is open, and ends this instance's part where its disk is found to be old:
// it votes no more and confirms nothing, and what held here goes on holding.
func (s *Store) keepReporting(ctx context.Context) {
	for tick := time.NewTicker(reportInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		r := s.positions.startReport
		r.Current = rollback.Position{Term: s.raft.CurrentTerm(), Index: s.raft.AppliedIndex()}
		if err := s.report(ctx, s.Members(), r); err != nil {
			s.fsm.halted.Store(&err)
			eventlog.StoreRolledBack.Log(err)
			tick.Stop()
			if err := s.raft.Shutdown().Error(); err != nil {
				eventlog.StoreFailed.Log(err)
			}
			return
		}
	}
}

// ObservePosition takes another instance's report of itself.
func (s *Store) ObservePosition(r rollback.Report) error {
	var ids []string
	for _, m := range s.Members() {
		ids = append(ids, m.ID)
	}
	s.positions.mu.Lock()
	defer s.positions.mu.Unlock()
	s.positions.detector.Retain(ids)
	return s.positions.detector.Observe(r)
}
