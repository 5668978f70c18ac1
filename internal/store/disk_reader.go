package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"linkpass/internal/config"
	"linkpass/internal/config/restriction"
	"linkpass/internal/eventlog"
)

// maxCopyAttempts is how often a read copies the log before it gives up because another process keeps writing to it.
const maxCopyAttempts = 20

// errLogChanges is returned if the log was written to during each attempt to copy it.
var errLogChanges = errors.New("store: the log changes faster than it can be copied")

// errLogDamaged is returned if bbolt cannot read the copy of the log.
var errLogDamaged = errors.New("store: the copy of the log is damaged")

// DiskState is what an instance's files say: the state that it has applied, the restriction requests that are pending
// there, and the added servers that are gone. Whatever an instance has acknowledged or acted on is in its files.
type DiskState struct {
	State   *config.State
	Pending []restriction.Request
	Gone    map[string]config.ServerSpec
}

// DiskReader reads the files of an instance that another process has open, any version of the program that keeps the
// applied index on disk. It writes nothing that the other process reads. It is not safe for concurrent use.
type DiskReader struct {
	config    Config
	snapshots raft.SnapshotStore // nil until the first read
	header    []byte             // of the log's file at the last successful read
	last      restoredState
}

// NewDiskReader returns a reader of the instance with this configuration.
func NewDiskReader(c Config) *DiskReader {
	return &DiskReader{config: c, last: c.initialState()}
}

// Read returns what the files say, and false if nothing was written since the last successful read. An instance that has
// no files yet has the initial state.
func (r *DiskReader) Read() (state DiskState, changed bool, err error) {
	header, err := r.readHeader()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		changed = r.header == nil
		r.header = []byte{}
		return DiskState{State: r.last.state}, changed, nil
	case err != nil:
		return DiskState{}, false, err
	case bytes.Equal(header, r.header):
		return DiskState{State: r.last.state}, false, nil
	}
	if state, header, err = r.readLog(); err != nil {
		return DiskState{}, false, err
	}
	r.header = header
	return state, true, nil
}

// readLog reads a copy of the log, and returns the header that the copy has. bbolt panics at a damaged file, which must
// not end a process that only looks at it.
func (r *DiskReader) readLog() (state DiskState, header []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errLogDamaged, cause)
		}
	}()
	bolt, header, err := r.openCopy()
	if err != nil {
		return DiskState{}, nil, err
	}
	defer bolt.Close()
	state, err = r.readCopy(bolt)
	return state, header, err
}

// readCopy reads the state from a copy of the log, and from the snapshots, which may be later than the copy.
func (r *DiskReader) readCopy(bolt *raftboltdb.BoltStore) (DiskState, error) {
	if r.snapshots == nil {
		snapshots, err := openSnapshots(r.config.Dir, eventlog.RaftLogger())
		if err != nil {
			return DiskState{}, err
		}
		r.snapshots = snapshots
	}
	restored, err := restoreState(bolt, r.snapshots, r.last)
	if err != nil {
		return DiskState{}, err
	}
	disk := DiskState{State: restored.state}
	if err := loadJSON(bolt, keyPending, &disk.Pending); err != nil {
		return DiskState{}, err
	}
	if err := loadJSON(bolt, keyGone, &disk.Gone); err != nil {
		return DiskState{}, err
	}
	r.last = restored
	return disk, nil
}

// logPath returns the path of the log's file.
func (r *DiskReader) logPath() string { return filepath.Join(r.config.Dir, logFile) }

// readHeader returns the two pages at the start of the log's file. Each transaction of bbolt ends with a write of one of
// them.
func (r *DiskReader) readHeader() ([]byte, error) {
	file, err := os.Open(r.logPath())
	if err != nil {
		return nil, fmt.Errorf("store: open log: %w", err)
	}
	defer file.Close()
	header, err := io.ReadAll(io.LimitReader(file, int64(2*os.Getpagesize())))
	if err != nil {
		return nil, fmt.Errorf("store: read log: %w", err)
	}
	return header, nil
}

// openCopy opens a copy of the log, and returns it with the header that it has. bbolt locks its file, so the file itself
// cannot be opened beside the other process.
//
// The copy is consistent if no transaction has ended while it was made, which the header shows: a transaction writes
// only to pages that the last one before it does not use.
func (r *DiskReader) openCopy() (*raftboltdb.BoltStore, []byte, error) {
	for range maxCopyAttempts {
		before, err := r.readHeader()
		if err != nil {
			return nil, nil, err
		}
		path, err := copyToTemp(r.logPath())
		if err != nil {
			return nil, nil, err
		}
		after, err := r.readHeader()
		if err != nil || !bytes.Equal(before, after) {
			_ = os.Remove(path)
			continue
		}
		bolt, err := openUnlinked(path)
		return bolt, after, err
	}
	return nil, nil, errLogChanges
}

// copyToTemp copies a file to the directory for temporary files, and returns the copy's path.
func copyToTemp(path string) (copied string, err error) {
	from, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("store: open log: %w", err)
	}
	defer from.Close()
	to, err := os.CreateTemp("", "linkpass-log-*")
	if err != nil {
		return "", fmt.Errorf("store: copy log: %w", err)
	}
	_, err = io.Copy(to, from)
	if err = errors.Join(err, to.Close()); err != nil {
		_ = os.Remove(to.Name())
		return "", fmt.Errorf("store: copy log: %w", err)
	}
	return to.Name(), nil
}

// openUnlinked opens a log that this process owns alone, and removes its name, so that its space is free once it is
// closed.
func openUnlinked(path string) (*raftboltdb.BoltStore, error) {
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{NoSync: true}, NoSync: true})
	_ = os.Remove(path)
	if err != nil {
		return nil, fmt.Errorf("store: open copy of log: %w", err)
	}
	return bolt, nil
}
