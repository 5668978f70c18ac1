package bodystore

import "time"

const (
	maxCompactionBytes  = 1 << 20                // written each time, so that moves don't wait long
	compactionInterval  = 100 * time.Millisecond // between two compactions at least
	compactionDiskRatio = 1.5                    // bytes on disk by Limits.Files from which on it compacts
)

// compact rewrites what is left in the sparsest segment, where segments take much more of the disk than
// the bodies in them.
func (s *Store) compact() {
	if s.log == nil || float64(s.log.diskBytes()) < compactionDiskRatio*float64(s.cfg.Limits.Files) {
		return
	}
	seg := s.log.sparsest()
	if seg == nil {
		return
	}
	left := int64(maxCompactionBytes)
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

// compactEntry moves an entry's records out of a segment and returns the bytes written.
func (s *Store) compactEntry(e *entry, seg *segment) (written int64) {
	e.moveMu.Lock()
	defer e.moveMu.Unlock()
	records := s.pinRecords(e)
	defer s.log.unpinAll(records)
	buf := make([]byte, recordHeaderSize+maxRecordData)
	for i, r := range records {
		if r.segment != seg {
			continue
		}
		n, ok := s.compactRecord(e, i, r, buf)
		written += n
		if !ok {
			return written
		}
	}
	s.cfg.Counters.Add("bodies_compacted_bytes", written)
	return written
}

// pinRecords returns an entry's records, pinned so that their segments are not removed.
func (s *Store) pinRecords(e *entry) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := append([]record(nil), e.records...)
	s.log.pinAll(records)
	return records
}

// compactRecord copies the i-th record of an entry to the current segment. It returns false if the
// entry's others are not to be copied: it is evicted, or the disk failed.
func (s *Store) compactRecord(e *entry, i int, old record, buf []byte) (written int64, ok bool) {
	data, err := s.log.read(old, buf)
	if err != nil {
		s.removeUnreadable(e, err)
		return 0, false
	}
	r, err := s.log.append(data)
	if err != nil {
		s.suspendFiles(err)
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.evicted {
		s.log.free(r)
	} else {
		e.records[i] = r
		s.log.free(old)
	}
	return r.size(), !e.evicted
}
