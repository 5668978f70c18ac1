package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"linkpass/internal/config/rollback"
	"linkpass/internal/eventlog"
)

const (
	reportInterval = time.Second
	reportTimeout  = 300 * time.Millisecond // for one round of reports
)

// positionReporter detects disks that were rolled back to an old image: it reports this instance's position to the
// other members, and remembers the positions that they report.
type positionReporter struct {
	id   string
	send func(context.Context, Member, rollback.Report) error // nil: no reports are sent

	// startReport is of the disk at the start; it is constant once reporting has started.
	startReport rollback.Report

	cancel  context.CancelFunc // ends the reporting goroutine
	running sync.WaitGroup     // the reporting goroutine

	mu       sync.Mutex // guards detector
	detector *rollback.Detector
}

// newPositionReporter sends the reports of an instance.
func newPositionReporter(id string, send func(context.Context, Member, rollback.Report) error) *positionReporter {
	return &positionReporter{id: id, send: send, detector: rollback.NewDetector()}
}

// start reports the position at intervals until stop is called, or until a member finds it rolled back: then
// onRollback is called and reporting ends.
func (p *positionReporter) start(
	position func() rollback.Position, members func() []Member, onRollback func(error),
) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() {
		if err := p.run(ctx, position, members); err != nil {
			onRollback(err)
		}
	})
}

// stop ends reporting and waits for its goroutine.
func (p *positionReporter) stop() {
	p.cancel()
	p.running.Wait()
}

// run reports until the context ends, or returns the error of a member that found the position rolled back.
func (p *positionReporter) run(
	ctx context.Context, position func() rollback.Position, members func() []Member,
) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		report := p.startReport
		report.Current = position()
		if err := p.broadcast(ctx, members(), report); err != nil {
			return err
		}
	}
}

// broadcast sends a report to every other member at once. Members that can't be reached are ignored; the error is
// that of a member that has seen this instance at a later position than its disk had.
func (p *positionReporter) broadcast(ctx context.Context, members []Member, report rollback.Report) error {
	if p.send == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	errs := make([]error, len(members))
	var sending sync.WaitGroup
	for i, m := range members {
		if m.ID != p.id && m.HTTP != "" {
			sending.Go(func() { errs[i] = p.send(ctx, m, report) })
		}
	}
	sending.Wait()
	for i, err := range errs {
		if errors.Is(err, rollback.ErrRolledBack) {
			return fmt.Errorf("store: position rejected by member %s: %w", members[i].ID, err)
		}
	}
	return nil
}

// observe records another member's report, and forgets instances that are members no more.
func (p *positionReporter) observe(report rollback.Report, memberIDs []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.Retain(memberIDs)
	return p.detector.Observe(report)
}

// ObservePosition records another member's report of its position. The error wraps rollback.ErrRolledBack where this
// instance has seen that member at a later position than its disk had at its start.
func (s *Store) ObservePosition(r rollback.Report) error {
	var ids []string
	for _, m := range s.Members() {
		ids = append(ids, m.ID)
	}
	return s.positions.observe(r, ids)
}

// currentPosition is how far this instance has come since its start.
func (s *Store) currentPosition() rollback.Position {
	return rollback.Position{Term: s.raft.CurrentTerm(), Index: s.raft.AppliedIndex()}
}

// haltRolledBack takes this instance out of the quorum once its disk is found to be rolled back: it may have
// forgotten votes and entries that it confirmed. Its state stays readable locally.
func (s *Store) haltRolledBack(cause error) {
	s.fsm.halt(cause)
	eventlog.StoreRolledBack.Log(cause)
	if err := s.raft.Shutdown().Error(); err != nil {
		eventlog.StoreFailed.Log(err)
	}
}
