// Package bodystore stores the bodies of queries so that their parts can be retried: one body once,
// however many queries share it, in memory or in a segment log on disk, until the last of them has
// ended. Package tier decides which body is stored where and which is evicted.
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

// Config configures a store.
type Config struct {
	Limits   tier.Limits          // of this process
	Classes  []string             // names of the query classes, for counters
	Dir      string               // directory for files; "": bodies stay in memory
	FS       FS                   // nil: the operating system's
	Now      func() time.Duration // clock
	Counters *metrics.Counters
}

// Store stores bodies. Its methods and those of Body are safe for concurrent use and don't wait for a
// disk. It owns one goroutine, which moves bodies to files and compacts these; Close ends it.
type Store struct {
	cfg     Config
	log     *segmentLog // nil: bodies stay in memory
	dir     string      // of this process, below Config.Dir
	dirLock *os.File

	mu             sync.Mutex
	state          *tier.State
	lastID         tier.ID
	entries        map[tier.ID]*entry
	byHash         map[[32]byte]*entry // the entries that have arrived
	suspendedUntil time.Duration       // files accept no bodies before this clock time; 0: they do
	moveQueue      []*entry            // to be moved to files
	lossLog        eventlog.RateLimited

	moveQueued chan struct{} // sent to by whoever queues a move, received by run
	done       chan struct{} // closed by Close, ends run
	wg         sync.WaitGroup
}

// Open returns a store and starts its goroutine. If the directory can't be used, it logs that and
// stores bodies in memory only.
func Open(c Config) *Store {
	if c.FS == nil {
		c.FS = osFS{}
	}
	s := &Store{
		cfg:        c,
		entries:    map[tier.ID]*entry{},
		byHash:     map[[32]byte]*entry{},
		moveQueued: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	s.openFiles()
	s.state = tier.New(s.cfg.Limits)
	s.wg.Go(s.run)
	return s
}

// openFiles opens the segment log, or sets the limit of files to 0 if there is none.
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

// Close waits for the store's goroutine and removes the files. Bodies that are still referenced can't be
// read any more.
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

// SetLimits replaces the limits of memory and files, in bytes, as when the number of processes that
// share them changes.
func (s *Store) SetLimits(memory, files int64) {
	s.mu.Lock()
	moves := s.resumeFiles()
	if s.log == nil {
		files = 0
	}
	s.applyAndUnlock(append(moves, s.state.SetLimits(memory, files)...))
}

// Totals is what the store contains.
type Totals struct {
	Bodies         int
	Shared         int   // references beyond the first of each body
	Memory, Files  int64 // bytes of bodies
	Disk           int64 // bytes of segments
	PendingBodies  int   // a part with the body has yet to be sent
	ArrivingBodies int   // not arrived completely
}

// Totals returns what the store contains now.
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

// count adds 1 to a counter of the entry's class.
func (s *Store) count(e *entry, event string) {
	class := "other"
	if e.class < len(s.cfg.Classes) {
		class = s.cfg.Classes[e.class]
	}
	s.cfg.Counters.Add("bodies_"+event+"_"+class, 1)
}
