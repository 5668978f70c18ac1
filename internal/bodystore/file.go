package bodystore

import (
	"io"
	"os"
)

// FS is what the segment log needs of a file system.
type FS interface {
	Create(path string) (File, error) // error if the path exists
	Remove(path string) error
}

// File is a file of FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
}

// osFS is the operating system's file system.
type osFS struct{}

func (osFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
}
func (osFS) Remove(path string) error { return os.Remove(path) }
