package bodystore

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
)

// segmentLog stores records in segments. Records are written concurrently; a segment is removed once
// all of its records are free and nobody reads or writes it.
type segmentLog struct {
	fs  FS
	dir string

	createMu     sync.Mutex // held while a segment is created; taken before mu
	lastSequence int        // guarded by createMu

	mu       sync.Mutex // never held while waiting for a disk
	current  *segment   // nil before the first record
	segments map[*segment]bool
	retired  []*segment // to be removed from the disk
}

func newSegmentLog(fs FS, dir string) *segmentLog {
	return &segmentLog{fs: fs, dir: dir, segments: map[*segment]bool{}}
}

// append writes a record with data of at most maxRecordData bytes.
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

// appendAll writes a record for each chunk. After an error it returns the records before it.
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

// reserve returns a segment with need bytes reserved at an offset. The segment is pinned.
func (l *segmentLog) reserve(need int64) (*segment, int64, error) {
	if s, offset := l.reserveInCurrent(need); s != nil {
		return s, offset, nil
	}
	l.createMu.Lock()
	defer l.createMu.Unlock()
	if s, offset := l.reserveInCurrent(need); s != nil { // another writer created one
		return s, offset, nil
	}
	if err := l.createSegment(); err != nil {
		return nil, 0, err
	}
	s, offset := l.reserveInCurrent(need)
	if s == nil { // filled by other writers meanwhile
		return nil, 0, errors.New("bodies: segment: full at once")
	}
	return s, offset, nil
}

// createSegment replaces the current segment. The caller holds createMu.
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

// reserveInCurrent returns nil if the current segment has no capacity.
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

// read reads a record whose segment is pinned into buf, which has the capacity for it, and returns its
// data there. The error is ErrCorrupt or the file's.
func (*segmentLog) read(r record, buf []byte) ([]byte, error) {
	buf = buf[:r.size()]
	if _, err := r.segment.file.ReadAt(buf, r.offset); err != nil {
		return nil, fmt.Errorf("bodies: read: %w", err)
	}
	return parseRecord(buf, r.length)
}

// diskBytes is the size of all segments.
func (l *segmentLog) diskBytes() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.segments {
		n += s.size
	}
	return n
}

// sparsest returns the sealed segment with the fewest live bytes, or nil if none is less than half full.
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

// close removes all segments.
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
