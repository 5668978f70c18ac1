package bodystore

const maxSegmentSize = 4 << 20 // bytes

// segment is one file of the segment log. segmentLog.mu guards the fields from size on; file and path don't
// change.
type segment struct {
	file      File
	path      string
	size      int64 // bytes reserved for records, written or not
	liveBytes int64 // bytes of the records that have not been freed
	pins      int   // number of uses by readers and writers; while above 0, the file is not removed
	sealed    bool  // no more records are added
}

// isSparse reports whether the segment is worth compacting: it is sealed and less than half of it is live.
func (s *segment) isSparse() bool { return s.sealed && s.liveBytes > 0 && s.liveBytes < s.size/2 }

// sparserThan reports whether s has fewer live bytes than other. Segments with equally many are ordered by path.
func (s *segment) sparserThan(other *segment) bool {
	return s.liveBytes < other.liveBytes || s.liveBytes == other.liveBytes && s.path < other.path
}

// pinAll pins the segment of each record, so that it is not removed before unpin or unpinAll.
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

// free marks a record as no longer needed.
func (l *segmentLog) free(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.segment.liveBytes -= r.size()
	l.retireIfUnused(r.segment)
}

// retireIfUnused retires a sealed segment without live records or pins, so that removeRetired removes its file.
// The caller holds mu.
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
		_ = l.fs.Remove(s.path) // a file left behind is removed with the directory
	}
}
