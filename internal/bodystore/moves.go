package bodystore

import (
	"time"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/eventlog"
)

// fileSuspension is how long files accept no new bodies after a failed write.
const fileSuspension = 5 * time.Second

// run moves queued bodies to files one at a time and, between moves, compacts the segments. After each of these it
// removes retired segments. Close ends it.
func (s *Store) run() {
	tick := time.NewTicker(compactionInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.moveSignal:
			s.processMoveQueue()
		case <-tick.C:
			s.compact()
		}
		if s.log != nil {
			s.log.removeRetired()
		}
	}
}

func (s *Store) processMoveQueue() {
	for e := s.dequeueMove(); e != nil; e = s.dequeueMove() {
		e.moveMu.Lock()
		s.moveToFiles(e)
		e.moveMu.Unlock()
	}
}

func (s *Store) dequeueMove() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.moveQueue) == 0 {
		return nil
	}
	e := s.moveQueue[0]
	s.moveQueue = s.moveQueue[1:]
	return e
}

// applyAndUnlock applies the moves of an event, unlocks mu and calls the eviction callbacks. The callbacks may
// call methods of the store, which would deadlock while mu is held.
func (s *Store) applyAndUnlock(moves []tier.Move) {
	callbacks := s.apply(moves, nil)
	s.mu.Unlock()
	runAll(callbacks)
}

// apply removes evicted entries and queues moves to files. It does not queue a move of arriving, which may be
// nil: the Writer of that entry moves it. The caller holds mu and calls the returned eviction callbacks after
// unlocking it.
func (s *Store) apply(moves []tier.Move, arriving *entry) (callbacks []func()) {
	for _, m := range moves {
		e := s.entries[m.ID]
		if e == nil {
			continue
		}
		s.count(e, "moved_"+m.To.String()+"_"+string(m.Reason))
		if m.To == tier.None {
			callbacks = append(callbacks, s.remove(e)...)
		} else if e != arriving {
			s.queueMove(e)
		}
	}
	return callbacks
}

// queueMove queues a move for run. The caller holds mu.
func (s *Store) queueMove(e *entry) {
	s.moveQueue = append(s.moveQueue, e)
	select {
	case s.moveSignal <- struct{}{}:
	default: // run has already been notified
	}
}

// moveToFiles writes an entry's data to files. The caller holds e.moveMu but not mu, so that only the Writer of
// the same entry waits for the disk.
func (s *Store) moveToFiles(e *entry) {
	s.mu.Lock()
	chunks := append([][]byte(nil), e.chunks...)
	evicted := e.evicted
	s.mu.Unlock()
	if evicted || e.inFiles {
		return
	}
	records, err := s.log.appendAll(chunks)
	if err != nil {
		s.suspendFiles(err)
	}
	s.finishMove(e, records, err == nil)
}

// finishMove replaces an entry's chunks by its records. If the write failed or the entry was evicted during the
// move, it frees the records instead.
func (s *Store) finishMove(e *entry, records []record, written bool) {
	s.mu.Lock()
	moves := s.resumeFiles()
	if written && !e.evicted {
		e.chunks, e.records, e.inFiles = nil, records, true
		s.applyAndUnlock(append(moves, s.state.FinishMove(e.id, true)...))
		return
	}
	for _, r := range records {
		s.log.free(r)
	}
	s.applyAndUnlock(append(moves, s.state.FinishMove(e.id, false)...))
}

// suspendFiles makes files accept no new bodies for fileSuspension after a failed write, as the disk is full or
// broken. Bodies in files stay readable.
func (s *Store) suspendFiles(err error) {
	s.mu.Lock()
	moves := s.resumeFiles()
	s.cfg.Counters.Add("bodies_write_failed", 1)
	if s.suspendedUntil == 0 {
		eventlog.BodyFilesSuspended.Log(fileSuspension.Milliseconds(), err)
	}
	s.suspendedUntil = s.cfg.Now() + fileSuspension
	s.applyAndUnlock(append(moves, s.state.SetFilesSuspended(true)...))
}

// resumeFiles ends a suspension that has expired. Every event calls it first. The caller holds mu and applies
// the returned moves.
func (s *Store) resumeFiles() []tier.Move {
	if s.suspendedUntil > 0 && s.cfg.Now() >= s.suspendedUntil {
		s.suspendedUntil = 0
		eventlog.BodyFilesRecovered.Log()
		return s.state.SetFilesSuspended(false)
	}
	return nil
}
