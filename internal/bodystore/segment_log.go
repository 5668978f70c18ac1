package bodystore

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
)

// segmentLog stores records in segments. Records may be written concurrently. A segment is removed once it is
// sealed, all of its records have been freed and no reader or writer has it pinned.
type segmentLog struct {
	fs  FS
	dir string

	createMu     sync.Mutex // held while a segment is created; locked before mu
	lastSequence int        // number in the name of the newest segment; guarded by createMu

	mu       sync.Mutex        // not held while waiting for the disk
	current  *segment          // nil before the first record
	segments map[*segment]bool // all that are not retired
	retired  []*segment        // no longer in segments, with files yet to be removed
}

func newSegmentLog(fs FS, dir string) *segmentLog {
	return &segmentLog{fs: fs, dir: dir, segments: map[*segment]bool{}}
}

// append writes a record. data has at most maxRecordData bytes.
func (l *segmentLog) append(data []byte) (record, error) {
	need := int64(recordHeaderSize + len(data))
	seg, offset, err := l.reserve(need)
	if err != nil {
		return record{}, err
	}
	n, err := seg.file.WriteAt(encodeRecord(data), offset)
	if err == nil && int64(n) < need {
		err = io.ErrShortWrite
	}
	r := record{seg, offset, len(data)}
	l.unpin(seg)
	if err != nil {
		l.free(r)
		return record{}, fmt.Errorf("bodies: write: %w", err)
	}
	return r, nil
}

// appendAll writes a record for each chunk. After an error it returns the records written before it.
func (l *segmentLog) appendAll(chunks [][]byte) (records []record, err error) {
	for _, chunk := range chunks {
		r, err := l.append(chunk)
		if err != nil {
			return records, err
		}
		records = append(records, r)
	}
	return records, nil
}

// reserve reserves need bytes and returns their segment and offset. The segment is pinned.
func (l *segmentLog) reserve(need int64) (*segment, int64, error) {
	if s, offset := l.reserveInCurrent(need); s != nil {
		return s, offset, nil
	}
	l.createMu.Lock()
	defer l.createMu.Unlock()
	if s, offset := l.reserveInCurrent(need); s != nil { // another writer has created a segment
		return s, offset, nil
	}
	if err := l.createSegment(); err != nil {
		return nil, 0, err
	}
	s, offset := l.reserveInCurrent(need)
	if s == nil { // other writers have filled the new segment
		return nil, 0, errors.New("bodies: segment: filled by other writers right after its creation")
	}
	return s, offset, nil
}

// createSegment creates a segment, makes it the current one and seals the one before. The caller holds createMu.
func (l *segmentLog) createSegment() error {
	l.lastSequence++
	path := filepath.Join(l.dir, fmt.Sprintf("seg-%08d", l.lastSequence))
	file, err := l.fs.Create(path)
	if err != nil {
		return fmt.Errorf("bodies: segment: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current
	l.current = &segment{file: file, path: path}
	l.segments[l.current] = true
	if old != nil {
		old.sealed = true
		l.retireIfUnused(old)
	}
	return nil
}

// reserveInCurrent reserves need bytes in the current segment and pins it. It returns nil if there is no current
// segment or it lacks the capacity.
func (l *segmentLog) reserveInCurrent(need int64) (*segment, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.size+need > maxSegmentSize {
		return nil, 0
	}
	s, offset := l.current, l.current.size
	s.size += need
	s.liveBytes += need
	s.pins++
	return s, offset
}

// read reads a record, header included, into buf and returns the part of buf that holds its data. The caller has
// pinned the segment, and buf has the capacity for the record. The error wraps ErrCorrupt or the file's error.
func (*segmentLog) read(r record, buf []byte) ([]byte, error) {
	buf = buf[:r.size()]
	if _, err := r.segment.file.ReadAt(buf, r.offset); err != nil {
		return nil, fmt.Errorf("bodies: read: %w", err)
	}
	return parseRecord(buf, r.length)
}

// diskBytes returns the size of all segments in bytes.
func (l *segmentLog) diskBytes() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.segments {
		n += s.size
	}
	return n
}

// sparsest returns the sealed segment with the fewest live bytes, or nil if none is less than half live.
func (l *segmentLog) sparsest() (found *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.segments {
		if s.isSparse() && (found == nil || s.sparserThan(found)) {
			found = s
		}
	}
	return found
}

// close closes and removes the files of all segments, pinned ones included.
func (l *segmentLog) close() {
	l.mu.Lock()
	for s := range l.segments {
		l.retired = append(l.retired, s)
	}
	clear(l.segments)
	l.current = nil
	l.mu.Unlock()
	l.removeRetired()
}
