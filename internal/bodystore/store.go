// Package bodystore stores the bodies of queries, so that parts of a query can be retried. Queries with the same
// body share one copy, which is stored in memory or in a segment log on disk until the last of these queries has
// ended. Package tier decides where each body is stored and which body is evicted.
package bodystore

import (
	"os"
	"sync"
	"time"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
)

// InlineLimit is the size in bytes up to which a body travels with its query instead of being stored.
const InlineLimit = 4 << 10

// Config configures a Store. Counters and Now are required.
type Config struct {
	Limits   tier.Limits          // limits of this process
	Classes  []string             // names of the query classes by index, for counter names
	Dir      string               // parent of the directory for files; "": bodies stay in memory
	FS       FS                   // file system of the segments; nil: the operating system's
	Now      func() time.Duration // clock: the time since a fixed point
	Counters *metrics.Counters
}

// Store stores bodies. Its methods and those of Body are safe for concurrent use and, other than Close, don't wait
// for the disk. It runs one goroutine, which moves bodies to files and compacts the segments. Close ends it.
type Store struct {
	cfg     Config
	log     *segmentLog // nil: bodies are stored in memory only
	dir     string      // directory of this process in Config.Dir
	dirLock *os.File    // keeps dir locked while it is open

	mu             sync.Mutex
	state          *tier.State
	lastID         tier.ID             // ID of the newest entry
	entries        map[tier.ID]*entry  // all bodies, arriving ones included
	byHash         map[[32]byte]*entry // entries that have arrived completely
	suspendedUntil time.Duration       // clock time until which files accept no bodies; 0: not suspended
	moveQueue      []*entry            // entries to be moved to files, oldest first
	lossLog        eventlog.RateLimited

	moveSignal chan struct{} // tells run that moveQueue is not empty
	done       chan struct{} // closed by Close to end run
	wg         sync.WaitGroup
}

// Open returns a store and starts its goroutine. If the directory can't be used, Open logs the error and the store
// keeps bodies in memory only.
func Open(c Config) *Store {
	if c.FS == nil {
		c.FS = osFS{}
	}
	s := &Store{
		cfg:        c,
		entries:    map[tier.ID]*entry{},
		byHash:     map[[32]byte]*entry{},
		moveSignal: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	s.openFiles()
	s.state = tier.New(s.cfg.Limits)
	s.wg.Go(s.run)
	return s
}

// openFiles creates the segment log. If bodies can't be stored in files, it sets Limits.Files to 0 instead.
func (s *Store) openFiles() {
	if s.cfg.Dir != "" && s.cfg.Limits.Files > 0 {
		dir, lock, err := createProcessDir(s.cfg.Dir)
		if err != nil {
			eventlog.BodyFilesUnavailable.Log(s.cfg.Dir, err)
		} else {
			s.dir, s.dirLock, s.log = dir, lock, newSegmentLog(s.cfg.FS, dir)
		}
	}
	if s.log == nil {
		s.cfg.Limits.Files = 0
	}
}

// Close ends the store's goroutine, waits for it and removes the files. Bodies in files can't be read after Close,
// even if they are still referenced.
func (s *Store) Close() {
	close(s.done)
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log != nil {
		s.log.close()
		_ = os.RemoveAll(s.dir)
		_ = s.dirLock.Close()
	}
}

// SetLimits replaces the limits of memory and files, in bytes. It is used when the number of processes that share
// the limits changes. Without a segment log the limit of files stays 0.
func (s *Store) SetLimits(memory, files int64) {
	s.mu.Lock()
	moves := s.resumeFiles()
	if s.log == nil {
		files = 0
	}
	s.applyAndUnlock(append(moves, s.state.SetLimits(memory, files)...))
}

// Totals counts the contents of a store.
type Totals struct {
	Bodies         int   // all bodies, arriving ones included
	Shared         int   // references beyond the first of each body
	Memory, Files  int64 // bytes of bodies; those of a move in flight count in both
	Disk           int64 // bytes of segments, including records that have been freed
	PendingBodies  int   // bodies with a part yet to be sent
	ArrivingBodies int   // bodies that have not arrived completely
}

// Totals counts the current contents of the store.
func (s *Store) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Totals{Bodies: s.state.Len(), Memory: s.state.Used(tier.Memory), Files: s.state.Used(tier.File)}
	for _, e := range s.entries {
		t.Shared += max(0, len(e.refs)-1)
		if len(e.refs) == 0 {
			t.ArrivingBodies++
		} else if e.isPending() {
			t.PendingBodies++
		}
	}
	if s.log != nil {
		t.Disk = s.log.diskBytes()
	}
	return t
}

// count adds 1 to the counter of an event for the entry's class.
func (s *Store) count(e *entry, event string) {
	class := "other"
	if e.class < len(s.cfg.Classes) {
		class = s.cfg.Classes[e.class]
	}
	s.cfg.Counters.Add("bodies_"+event+"_"+class, 1)
}
