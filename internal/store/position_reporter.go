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
	reportTimeout  = 300 * time.Millisecond // for the reports to all members, which are sent concurrently
)

// positionReporter detects disks that were rolled back to an old image: it reports this instance's position to the
// other members, and checks their reports against the positions that they reported before.
type positionReporter struct {
	id   string                                               // of this instance
	send func(context.Context, Member, rollback.Report) error // if nil, no reports are sent

	// startReport describes the disk at this instance's start. It is set before start is called and constant after
	// that, so the reporting goroutine reads it without a lock.
	startReport rollback.Report

	cancel  context.CancelFunc // ends the reporting goroutine
	running sync.WaitGroup     // the reporting goroutine

	mu       sync.Mutex // guards detector
	detector *rollback.Detector
}

// newPositionReporter returns a reporter for the instance with an id.
func newPositionReporter(id string, send func(context.Context, Member, rollback.Report) error) *positionReporter {
	return &positionReporter{id: id, send: send, detector: rollback.NewDetector()}
}

// start starts a goroutine that reports the position every reportInterval until stop is called. If a member finds that
// the disk was rolled back, the goroutine calls onRollback and ends.
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

// stop ends the reporting goroutine and waits for it.
func (p *positionReporter) stop() {
	p.cancel()
	p.running.Wait()
}

// run reports until the context ends. It returns the error of a member that found the disk rolled back.
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

// broadcast sends a report to all other members concurrently. All errors are ignored, such as those of unreachable
// members, except that of a member that has seen this instance at a later position than its disk had at the start.
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

// observe records another member's report, and deletes the reports of instances that are no longer members.
func (p *positionReporter) observe(report rollback.Report, memberIDs []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.Retain(memberIDs)
	return p.detector.Observe(report)
}

// ObservePosition records another member's report of its position. The error wraps rollback.ErrRolledBack if this
// instance has seen that member at a later position than the member's disk had at its start.
func (s *Store) ObservePosition(report rollback.Report) error {
	var ids []string
	for _, m := range s.Members() {
		ids = append(ids, m.ID)
	}
	return s.reporter.observe(report, ids)
}

// currentPosition returns the current term and the index of the last entry that this instance has applied.
func (s *Store) currentPosition() rollback.Position {
	return rollback.Position{Term: s.raft.CurrentTerm(), Index: s.raft.AppliedIndex()}
}

// haltRolledBack shuts down this instance's Raft node after its disk was found to be rolled back: the disk may lack
// votes that this instance cast and entries that it confirmed. The state stays readable with Local consistency.
func (s *Store) haltRolledBack(cause error) {
	s.fsm.halt(cause)
	eventlog.StoreRolledBack.Log(cause)
	if err := s.raft.Shutdown().Error(); err != nil {
		eventlog.StoreFailed.Log(err)
	}
}
