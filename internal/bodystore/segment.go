package bodystore

const maxSegmentSize = 4 << 20 // bytes

// segment is one file of the log. The log's mu guards the fields that change.
type segment struct {
	file      File
	path      string
	size      int64 // bytes reserved, written or not
	liveBytes int64 // of records that are not free
	pins      int   // readers and writers
	sealed    bool  // gets no more records
}

// isSparse reports whether compaction is worth its writes: less than half is live.
func (s *segment) isSparse() bool { return s.sealed && s.liveBytes > 0 && s.liveBytes < s.size/2 }

// sparserThan orders segments by live bytes, then by path.
func (s *segment) sparserThan(other *segment) bool {
	return s.liveBytes < other.liveBytes || s.liveBytes == other.liveBytes && s.path < other.path
}

// pinAll keeps the segments of records from being removed, until unpin.
func (l *segmentLog) pinAll(records []record) {
	for _, r := range records {
		l.pin(r.segment)
	}
}

func (l *segmentLog) pin(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pins++
}

func (l *segmentLog) unpinAll(records []record) {
	for _, r := range records {
		l.unpin(r.segment)
	}
}

func (l *segmentLog) unpin(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pins--
	l.retireIfUnused(s)
}

// free says that a record is not needed any more.
func (l *segmentLog) free(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.segment.liveBytes -= r.size()
	l.retireIfUnused(r.segment)
}

// retireIfUnused hands a segment without live records to removeRetired. The caller holds mu.
func (l *segmentLog) retireIfUnused(s *segment) {
	if !s.sealed || s.liveBytes > 0 || s.pins > 0 || !l.segments[s] {
		return
	}
	delete(l.segments, s)
	l.retired = append(l.retired, s)
}

// removeRetired closes and removes the files of retired segments.
func (l *segmentLog) removeRetired() {
	l.mu.Lock()
	retired := l.retired
	l.retired = nil
	l.mu.Unlock()
	for _, s := range retired {
		_ = s.file.Close()
		_ = l.fs.Remove(s.path) // what is left is removed with the directory
	}
}
