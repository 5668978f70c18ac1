package bodystore

import (
	"time"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/eventlog"
)

// Bounds on compaction: it writes so much at a time, and no more often than that.
const (
	compactBytes = 1 << 20
	compactPause = 100 * time.Millisecond
	compactFrom  = 1.5 // times the files' budget on disk
)

// run moves bodies to files, one after another, and compacts between them.
func (s *Store) run() {
	tick := time.NewTicker(compactPause)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
			for e := s.order(); e != nil; e = s.order() {
				e.moving.Lock()
				s.file(e)
				e.moving.Unlock()
			}
		case <-tick.C:
			s.compact()
		}
		if s.log != nil {
			s.log.removeRetired()
		}
	}
}

func (s *Store) order() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.moveQueue) == 0 {
		return nil
	}
	e := s.moveQueue[0]
	s.moveQueue = s.moveQueue[1:]
	return e
}

// file writes an entry's data to files. The entry's own lock is held: whoever adds to it waits,
// nobody else does.
func (s *Store) file(e *entry) {
	s.mu.Lock()
	pieces := append([][]byte(nil), e.chunks...)
	gone := e.evicted
	s.mu.Unlock()
	if gone || e.inFiles {
		return
	}
	var recs []record
	var err error
	for _, p := range pieces {
		var r record
		if r, err = s.log.append(p); err != nil {
			break
		}
		recs = append(recs, r)
	}
	if err != nil {
		s.failed(err)
	}
	s.event(func() []tier.Move {
		if err != nil || e.evicted {
			for _, r := range recs {
				s.log.free(r)
			}
			return s.state.FinishMove(e.id, false)
		}
		e.chunks, e.records, e.inFiles = nil, recs, true
		return s.state.FinishMove(e.id, true)
	})
}

// failed lets files rest after a write that failed: the disk is full or broken. What lies there
// stays readable.
func (s *Store) failed(err error) {
	s.event(func() []tier.Move {
		s.cfg.Counters.Add("bodies_write_failed", 1)
		if s.rests == 0 {
			eventlog.BodyFilesSuspended.Log(filesRest.Milliseconds(), err)
		}
		s.rests = s.cfg.Now() + filesRest
		return s.state.SetFilesSuspended(true)
	})
}

// compact moves what is left in a sparse segment, where the segments take much more than what
// lies in them.
func (s *Store) compact() {
	if s.log == nil || float64(s.log.diskBytes()) < compactFrom*float64(s.cfg.Limits.Files) {
		return
	}
	seg := s.log.sparsest()
	if seg == nil {
		return
	}
	left := int64(compactBytes)
	for _, e := range s.entriesIn(seg) {
		if left <= 0 {
			return
		}
		left -= s.compactEntry(e, seg)
	}
}

// entriesIn lists the entries with records in a segment.
func (s *Store) entriesIn(seg *segment) (out []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		for _, r := range e.records {
			if r.segment == seg {
				out = append(out, e)
				break
			}
		}
	}
	return out
}

// compactEntry writes an entry's records of one segment anew.
func (s *Store) compactEntry(e *entry, seg *segment) (written int64) {
	e.moving.Lock()
	defer e.moving.Unlock()
	s.mu.Lock()
	recs := append([]record(nil), e.records...)
	for _, r := range recs {
		s.log.pin(r.segment)
	}
	s.mu.Unlock()
	defer func() {
		for _, r := range recs {
			s.log.unpin(r.segment)
		}
	}()
	buf := make([]byte, recordHeaderSize+maxRecordData)
	for i, old := range recs {
		if old.segment != seg {
			continue
		}
		data, err := s.log.read(old, buf)
		if err != nil {
			s.lost(e, err)
			return written
		}
		r, err := s.log.append(data)
		if err != nil {
			s.failed(err)
			return written
		}
		written += int64(recordHeaderSize + r.length)
		s.mu.Lock()
		if e.evicted {
			s.log.free(r)
		} else {
			e.records[i] = r
			s.log.free(old)
		}
		gone := e.evicted
		s.mu.Unlock()
		if gone {
			return written
		}
	}
	s.cfg.Counters.Add("bodies_compacted_bytes", written)
	return written
}
