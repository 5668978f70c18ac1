package bodystore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// FS is what the log needs of a file system.
type FS interface {
	Create(path string) (File, error)
	Remove(path string) error
}

// File is one file of it.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// osFS is the machine's own.
type osFS struct{}

func (osFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
}
func (osFS) Remove(path string) error { return os.Remove(path) }

const (
	segmentSize      = 4 << 20
	recordHeaderSize = 16
	maxRecordData    = 64 << 10 // bytes of one record's data
)

var magic = [4]byte{'L', 'P', 'B', '1'}

// ErrCorrupt marks a record that is not what was written.
var ErrCorrupt = errors.New("bodies: a record does not check")

// record is where some bytes lie.
type record struct {
	segment *segment
	offset  int64
	length  int
}

// segment is one file of the log. The log's mutex guards its figures.
type segment struct {
	file   File
	path   string
	size   int64 // taken, written or not
	live   int64
	pins   int // readers and writers at work
	sealed bool
}

// segmentLog is a log of segments. Records are written side by side; a segment goes when all in it is
// free.
type segmentLog struct {
	fs  FS
	dir string

	making sync.Mutex // of a new segment; guards seq
	seq    int

	mu       sync.Mutex // held for no disk
	cur      *segment
	segments map[*segment]bool
	trash    []*segment // to be removed from the disk
}

func newSegmentLog(fs FS, dir string) *segmentLog {
	return &segmentLog{fs: fs, dir: dir, segments: map[*segment]bool{}}
}

// append writes data of maxRecord bytes at most.
func (l *segmentLog) append(data []byte) (record, error) {
	need := int64(recordHeaderSize + len(data))
	seg, off, err := l.take(need)
	if err != nil {
		return record{}, err
	}
	b := make([]byte, recordHeaderSize, need)
	copy(b, magic[:])
	binary.LittleEndian.PutUint32(b[4:], uint32(len(data)))
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(data))
	n, err := seg.file.WriteAt(append(b, data...), off)
	if err == nil && int64(n) < need {
		err = io.ErrShortWrite
	}
	rec := record{seg, off, len(data)}
	l.unpin(seg)
	if err != nil {
		l.free(rec)
		return record{}, fmt.Errorf("bodies: write: %w", err)
	}
	return rec, nil
}

// take finds a place for so many bytes; the segment is pinned.
func (l *segmentLog) take(need int64) (*segment, int64, error) {
	if s, off := l.place(need); s != nil {
		return s, off, nil
	}
	l.making.Lock() // one makes a new segment; the disk holds up only those who write
	defer l.making.Unlock()
	if s, off := l.place(need); s != nil {
		return s, off, nil
	}
	l.seq++
	path := filepath.Join(l.dir, fmt.Sprintf("seg-%08d", l.seq))
	disk, err := l.fs.Create(path)
	if err != nil {
		return nil, 0, fmt.Errorf("bodies: segment: %w", err)
	}
	l.mu.Lock()
	old := l.cur
	l.cur = &segment{file: disk, path: path}
	l.segments[l.cur] = true
	if old != nil {
		old.sealed = true
		l.drop(old)
	}
	l.mu.Unlock()
	s, off := l.place(need) // others may have filled it: no record is so large
	if s == nil {
		return nil, 0, errors.New("bodies: segment: full at once")
	}
	return s, off, nil
}

// place takes a place in the current segment, if it has room.
func (l *segmentLog) place(need int64) (*segment, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cur == nil || l.cur.size+need > segmentSize {
		return nil, 0
	}
	s, off := l.cur, l.cur.size
	s.size += need
	s.live += need
	s.pins++
	return s, off
}

func (l *segmentLog) pin(s *segment) { l.mu.Lock(); s.pins++; l.mu.Unlock() }

func (l *segmentLog) unpin(s *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.pins--
	l.drop(s)
}

// free gives a record's place up.
func (l *segmentLog) free(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.segment.live -= int64(recordHeaderSize + r.length)
	l.drop(r.segment)
}

// drop puts a segment in which nothing is left into the trash. The mutex is held.
func (l *segmentLog) drop(s *segment) {
	if !s.sealed || s.live > 0 || s.pins > 0 || !l.segments[s] {
		return
	}
	delete(l.segments, s)
	l.trash = append(l.trash, s)
}

// removeRetired removes from the disk what was dropped.
func (l *segmentLog) removeRetired() {
	l.mu.Lock()
	trash := l.trash
	l.trash = nil
	l.mu.Unlock()
	for _, s := range trash {
		_ = s.file.Close()
		_ = l.fs.Remove(s.path) // what stays is removed at the next start
	}
}

// read reads a record into buf, which has room for it, and checks it. The segment is pinned.
func (*segmentLog) read(r record, buf []byte) ([]byte, error) {
	buf = buf[:recordHeaderSize+r.length]
	if _, err := r.segment.file.ReadAt(buf, r.offset); err != nil {
		return nil, fmt.Errorf("bodies: read: %w", err)
	}
	return parseRecord(buf, r.length)
}

// parseRecord checks a record that is to hold n bytes, and gives these.
func parseRecord(buf []byte, n int) ([]byte, error) {
	if len(buf) < recordHeaderSize || [4]byte(buf[:4]) != magic || binary.LittleEndian.Uint32(buf[4:]) != uint32(n) || len(buf) != recordHeaderSize+n {
		return nil, fmt.Errorf("%w: its head", ErrCorrupt)
	}
	data := buf[recordHeaderSize:]
	if xxhash.Sum64(data) != binary.LittleEndian.Uint64(buf[8:]) {
		return nil, fmt.Errorf("%w: its data", ErrCorrupt)
	}
	return data, nil
}

// diskBytes is how many bytes the segments take on disk.
func (l *segmentLog) diskBytes() (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.segments {
		n += s.size
	}
	return n
}

// sparsest finds the sealed segment with the least in it, if that is under half.
func (l *segmentLog) sparsest() (found *segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.segments {
		if s.sealed && s.live > 0 && s.live < s.size/2 && (found == nil || s.live < found.live || s.live == found.live && s.path < found.path) {
			found = s
		}
	}
	return found
}

// close ends the log; its files go.
func (l *segmentLog) close() {
	l.mu.Lock()
	for s := range l.segments {
		l.trash = append(l.trash, s)
	}
	clear(l.segments)
	l.cur = nil
	l.mu.Unlock()
	l.removeRetired()
}
