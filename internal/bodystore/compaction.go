package bodystore

import "time"

const (
	maxCompactionBytes  = 1 << 20                // after these, one compaction stops, so that moves don't wait long
	compactionInterval  = 100 * time.Millisecond // minimum time between two compactions
	compactionDiskRatio = 1.5                    // threshold of the segments' disk use, as a multiple of Limits.Files
)

// compact copies the live records of the sparsest segment to the current one, so that the sparsest can be
// removed. It does nothing while the segments together use less disk than compactionDiskRatio times the Limits.Files
// that the store was opened with.
func (s *Store) compact() {
	if s.log == nil || float64(s.log.diskBytes()) < compactionDiskRatio*float64(s.cfg.Limits.Files) {
		return
	}
	seg := s.log.sparsest()
	if seg == nil {
		return
	}
	remaining := int64(maxCompactionBytes)
	for _, e := range s.entriesIn(seg) {
		if remaining <= 0 {
			return
		}
		remaining -= s.compactEntry(e, seg)
	}
}

// entriesIn returns the entries with records in a segment.
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

// compactEntry copies an entry's records out of a segment and returns the number of bytes written.
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

// pinRecords returns an entry's records. Their segments are pinned, so that they are not removed.
func (s *Store) pinRecords(e *entry) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := append([]record(nil), e.records...)
	s.log.pinAll(records)
	return records
}

// compactRecord copies the i-th record of an entry to the current segment. It returns false if the
// remaining records of the entry should not be copied: the entry was evicted, or the disk failed.
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
