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
	file, err := osFS{}.Create(path)
	return &faultyFile{file, f}, err
}
func (*faultyFS) Remove(path string) error { return os.Remove(path) }

type faultyFile struct {
	File
	fs *faultyFS
}

func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if f.fs.shortWrites.Load() {
		return f.File.WriteAt(p[:len(p)/2], off)
	}
	if remaining := f.fs.capacity.Load(); remaining >= 0 {
		if remaining < int64(len(p)) {
			_, _ = f.File.WriteAt(p[:remaining], off)
			return int(remaining), syscall.ENOSPC
		}
		f.fs.capacity.Add(-int64(len(p)))
	}
	return f.File.WriteAt(p, off)
}

func (f *faultyFile) ReadAt(p []byte, off int64) (int, error) {
	if f.fs.failReads.Load() {
		return 0, syscall.EIO
	}
	n, err := f.File.ReadAt(p, off)
	if f.fs.corruptReads.Load() && n > 0 {
		p[n/2] ^= 4
	}
	return n, err
}
