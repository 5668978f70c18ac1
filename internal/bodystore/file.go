package bodystore

import (
	"io"
	"os"
)

// FS is the part of a file system that the store needs for its segments.
type FS interface {
	Create(path string) (File, error) // read-write; fails if the path exists
	Remove(path string) error
}

// File is an open file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// osFS is the FS of the operating system.
type osFS struct{}

func (osFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
}
func (osFS) Remove(path string) error { return os.Remove(path) }
