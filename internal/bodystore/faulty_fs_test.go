package bodystore

import (
	"os"
	"sync/atomic"
	"syscall"
)

// faultyFS is the operating system's file system with faults that a test can set: a full disk, short writes, and
// corrupt or failing reads.
type faultyFS struct {
	capacity     atomic.Int64 // bytes that may still be written; negative: no limit
	shortWrites  atomic.Bool
	corruptReads atomic.Bool
	failReads    atomic.Bool
}

func newFaultyFS() *faultyFS {
	f := &faultyFS{}
	f.capacity.Store(-1)
	return f
}

func (f *faultyFS) Create(path string) (File, error) {
	d, err := osFS{}.Create(path)
	return &faultyFile{d, f}, err
}
func (*faultyFS) Remove(path string) error { return os.Remove(path) }

type faultyFile struct {
	File
	f *faultyFS
}

func (d *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if d.f.shortWrites.Load() {
		return d.File.WriteAt(p[:len(p)/2], off)
	}
	if left := d.f.capacity.Load(); left >= 0 {
		if left < int64(len(p)) {
			_, _ = d.File.WriteAt(p[:left], off)
			return int(left), syscall.ENOSPC
		}
		d.f.capacity.Add(-int64(len(p)))
	}
	return d.File.WriteAt(p, off)
}

func (d *faultyFile) ReadAt(p []byte, off int64) (int, error) {
	if d.f.failReads.Load() {
		return 0, syscall.EIO
	}
	n, err := d.File.ReadAt(p, off)
	if d.f.corruptReads.Load() && n > 0 {
		p[n/2] ^= 4
	}
	return n, err
}
