// Package bodystore keeps the bodies of queries so that parts can be sent again: one body once,
// however many queries share it, in memory or in a log of segments, until the last of them has
// ended. What gives way is decided by its package tier.
package bodystore

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"lukechampine.com/blake3"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/eventlog"
	"linkpass/internal/metrics"
)

// InlineLimit is the size up to which a body is no matter for the store: its bytes go along with the query.
const InlineLimit = 4 << 10

// Errors of a body.
var (
	ErrNoCapacity = errors.New("bodies: no room for the body")
	ErrEvicted    = errors.New("bodies: the body is not kept any more")
)

// filesRest is for how long files take nothing new after a write has failed.
const filesRest = 5 * time.Second

// Config sets up a store.
type Config struct {
	Limits   tier.Limits
	Classes  []string // names, for the figures
	Dir      string   // of files; "": there are none
	FS       FS       // nil: the machine's own
	Now      func() time.Duration
	Counters *metrics.Counters
}

// Store keeps bodies. Its methods may be called from anywhere; none waits for a disk but Write of
// the body that arrives.
type Store struct {
	cfg     Config
	log     *segmentLog // nil: no files
	dir     string
	dirLock *os.File

	mu        sync.Mutex
	state     *tier.State
	next      tier.ID
	entries   map[tier.ID]*entry
	hashes    map[[32]byte]*entry
	rests     time.Duration // until then files take nothing new; 0: they do
	moveQueue []*entry      // to be moved to files
	wake      chan struct{}
	done      chan struct{}
	wg        sync.WaitGroup
	lines     eventlog.RateLimited
}

// entry is one body.
type entry struct {
	id    tier.ID
	class int

	// Guarded by the store's mutex.
	size    int64
	hash    [32]byte
	shared  bool // it stands under its hash
	chunks  [][]byte
	records []record
	refs    map[*Body]bool // true: a part of it is yet to be written
	evicted bool

	// moving is held while the entry's data are written to files, or added to.
	moving  sync.Mutex
	inFiles bool // its data go to files; guarded by moving
}

// Open makes a store. Files that cannot be used are one line in the log: memory alone serves then.
func Open(c Config) *Store {
	if c.FS == nil {
		c.FS = osFS{}
	}
	s := &Store{cfg: c, entries: map[tier.ID]*entry{}, hashes: map[[32]byte]*entry{}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if c.Dir != "" && c.Limits.Files > 0 {
		own, lock, err := createProcessDir(c.Dir)
		if err != nil {
			eventlog.BodyFilesUnavailable.Log(c.Dir, err)
		} else {
			s.dir, s.dirLock, s.log = own, lock, newSegmentLog(c.FS, own)
		}
	}
	if s.log == nil {
		s.cfg.Limits.Files = 0
	}
	s.state = tier.New(s.cfg.Limits)
	s.wg.Go(s.run)
	return s
}

// Close ends the store. Bodies that are still held cannot be read any more.
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

// SetLimits changes the budgets: two processes share them.
func (s *Store) SetLimits(memory, files int64) {
	s.event(func() []tier.Move {
		if s.log == nil {
			files = 0
		}
		return s.state.SetLimits(memory, files)
	})
}

// event hands the tiers an event and does what comes of it. The event runs under the mutex.
func (s *Store) event(f func() []tier.Move) {
	s.mu.Lock()
	moves := s.awake()
	moves = append(moves, f()...)
	told := s.apply(moves, nil)
	s.mu.Unlock()
	for _, gone := range told {
		gone()
	}
}

// awake lets files take new bodies again once their rest is over.
func (s *Store) awake() []tier.Move {
	if s.rests > 0 && s.cfg.Now() >= s.rests {
		s.rests = 0
		eventlog.BodyFilesRecovered.Log()
		return s.state.SetFilesSuspended(false)
	}
	return nil
}

// apply does moves, but for those to a file of own, which its writer does itself. It returns
// whom to tell, without the mutex, that a body is gone.
func (s *Store) apply(moves []tier.Move, own *entry) (told []func()) {
	for _, m := range moves {
		e := s.entries[m.ID]
		if e == nil {
			continue
		}
		s.count(e, "moved_"+m.To.String()+"_"+string(m.Reason))
		if m.To == tier.None {
			told = append(told, s.forget(e)...)
		} else if e != own {
			s.moveQueue = append(s.moveQueue, e)
			select {
			case s.wake <- struct{}{}:
			default:
			}
		}
	}
	return told
}

func (s *Store) count(e *entry, what string) {
	name := "other"
	if e.class < len(s.cfg.Classes) {
		name = s.cfg.Classes[e.class]
	}
	s.cfg.Counters.Add("bodies_"+what+"_"+name, 1)
}

// forget lets an entry go and returns whom to tell.
func (s *Store) forget(e *entry) (told []func()) {
	if e.evicted {
		return nil
	}
	e.evicted = true
	delete(s.entries, e.id)
	if e.shared {
		delete(s.hashes, e.hash)
	}
	for b := range e.refs {
		if b.gone != nil {
			told = append(told, b.gone)
		}
	}
	for _, r := range e.records {
		s.log.free(r)
	}
	e.chunks, e.records = nil, nil
	return told
}

// lost gives an entry up whose data cannot be read.
func (s *Store) lost(e *entry, err error) {
	s.mu.Lock()
	s.count(e, "lost")
	s.lines.Log(eventlog.BodyLost, e.class, e.size, err)
	s.state.Remove(e.id)
	told := s.forget(e)
	s.mu.Unlock()
	for _, gone := range told {
		gone()
	}
}

// Totals are what the store holds now.
type Totals struct {
	Bodies, Shared                int
	Memory, Files, Disk           int64
	PendingBodies, ArrivingBodies int
}

// Totals tells what the store holds.
func (s *Store) Totals() (f Totals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Bodies, f.Memory, f.Files = s.state.Len(), s.state.Used(tier.Memory), s.state.Used(tier.File)
	for _, e := range s.entries {
		f.Shared += max(0, len(e.refs)-1)
		if len(e.refs) == 0 {
			f.ArrivingBodies++
		} else if e.waits() {
			f.PendingBodies++
		}
	}
	if s.log != nil {
		f.Disk = s.log.diskBytes()
	}
	return f
}

func (e *entry) waits() bool {
	for _, waiting := range e.refs {
		if waiting {
			return true
		}
	}
	return false
}

// Writer takes a body in while it arrives. It belongs to one goroutine; Done or Abort ends it.
type Writer struct {
	s     *Store
	e     *entry
	hash  *blake3.Hasher
	ended bool
}

// NewWriter begins a body of a class that is worth so much.
func (s *Store) NewWriter(class int, worth float64) *Writer {
	e := &entry{class: class, refs: map[*Body]bool{}}
	s.mu.Lock()
	s.next++
	e.id = s.next
	s.entries[e.id] = e
	s.state.Add(e.id, class, worth)
	s.mu.Unlock()
	return &Writer{s: s, e: e, hash: blake3.New(32, nil)}
}

// Write takes more of the body; it keeps nothing of p. ErrNoRoom: the body is given up.
func (w *Writer) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		piece := p[:min(len(p), maxRecordData)]
		if err := w.take(piece); err != nil {
			w.Abort()
			return n, err
		}
		n, p = n+len(piece), p[len(piece):]
	}
	return n, nil
}

func (w *Writer) take(piece []byte) error {
	_, _ = w.hash.Write(piece) // never fails
	s, e := w.s, w.e
	e.moving.Lock()
	defer e.moving.Unlock()
	s.mu.Lock()
	moves := s.awake()
	grown, room := s.state.Grow(e.id, int64(len(piece)))
	moves = append(moves, grown...)
	mine := false
	for _, m := range moves {
		mine = mine || m.ID == e.id && m.To == tier.File
	}
	told := s.apply(moves, e)
	if !room || e.evicted {
		s.count(e, "refused")
		told = append(told, s.forget(e)...)
	} else {
		e.size += int64(len(piece))
		if !e.inFiles {
			e.chunks = append(e.chunks, bytes.Clone(piece))
		}
	}
	gone, filed := e.evicted, e.inFiles
	s.mu.Unlock()
	for _, gone := range told {
		gone()
	}
	switch {
	case gone:
		return ErrNoCapacity
	case mine: // all of it, this piece too
		s.file(e)
	case filed:
		return w.addToFile(piece)
	}
	return nil
}

// addToFile writes a piece of a body that goes to files. A disk that takes no more has nothing
// left to give way to: the body is refused.
func (w *Writer) addToFile(piece []byte) error {
	r, err := w.s.log.append(piece)
	if err != nil {
		w.s.failed(err)
		w.s.mu.Lock()
		w.s.count(w.e, "refused")
		w.s.mu.Unlock()
		return ErrNoCapacity
	}
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	if w.e.evicted {
		w.s.log.free(r)
		return ErrNoCapacity
	}
	w.e.records = append(w.e.records, r)
	return nil
}

// Abort gives the body up; after Done it does nothing.
func (w *Writer) Abort() {
	if w.ended {
		return
	}
	w.ended = true
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.s.state.Remove(w.e.id)
	w.s.forget(w.e)
}

// Commit ends the arrival. What lies here already under the same content is shared.
func (w *Writer) Commit() (*Body, error) {
	s, e := w.s, w.e
	if w.ended {
		return nil, ErrNoCapacity
	}
	w.ended = true
	b := &Body{s: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.evicted {
		return nil, ErrNoCapacity
	}
	copy(e.hash[:], w.hash.Sum(nil))
	if twin := s.hashes[e.hash]; twin != nil && !twin.evicted && twin.size == e.size {
		s.state.Remove(e.id)
		s.forget(e)
		s.count(twin, "shared")
		e = twin
	} else {
		s.hashes[e.hash], e.shared = e, true
		s.state.MarkArrived(e.id)
		s.count(e, "kept")
	}
	b.e = e
	e.refs[b] = true
	s.state.MarkPending(e.id)
	return b, nil
}

// Body is one query's hold on a body. Its methods may be called from anywhere; none waits.
type Body struct {
	s    *Store
	e    *entry
	gone func()
}

// Size is its length in bytes.
func (b *Body) Size() int64 { return b.e.size }

// OnEvicted says whom to tell, once, when the body cannot be read any more; at once if it is gone already.
func (b *Body) OnEvicted(f func()) {
	b.s.mu.Lock()
	b.gone = f
	gone := b.e.evicted
	b.s.mu.Unlock()
	if gone {
		f()
	}
}

// MarkSent says that no part of this query is yet to be written: the body may be given up.
func (b *Body) MarkSent() {
	b.s.event(func() []tier.Move {
		if _, held := b.e.refs[b]; !held || b.e.evicted {
			return nil
		}
		b.e.refs[b] = false
		if b.e.waits() {
			return nil
		}
		return b.s.state.MarkSent(b.e.id, b.s.cfg.Now())
	})
}

// MarkPending says that a part of this query is to be written, or again.
func (b *Body) MarkPending() {
	b.s.event(func() []tier.Move {
		if _, held := b.e.refs[b]; held && !b.e.evicted {
			b.e.refs[b] = true
			b.s.state.MarkPending(b.e.id)
		}
		return nil
	})
}

// Release ends the hold; the last one frees the body.
func (b *Body) Release() {
	b.s.event(func() []tier.Move {
		if _, held := b.e.refs[b]; !held {
			return nil
		}
		delete(b.e.refs, b)
		if b.e.evicted {
			return nil
		}
		if len(b.e.refs) == 0 {
			b.s.state.Remove(b.e.id)
			b.s.forget(b.e)
			return nil
		}
		if !b.e.waits() {
			return b.s.state.MarkSent(b.e.id, b.s.cfg.Now())
		}
		return nil
	})
}

// Open reads the body from where it lies now, as a stream. What is dropped or moved meanwhile is
// read on to its end. An error other than ErrGone means that the body is gone from now on.
func (b *Body) Open() (io.ReadCloser, error) {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	if b.e.evicted {
		return nil, ErrEvicted
	}
	r := &reader{s: b.s, e: b.e}
	if len(b.e.records) > 0 {
		r.recs = append(r.recs, b.e.records...)
		for _, rec := range r.recs {
			b.s.log.pin(rec.segment)
		}
	} else {
		r.mem = append(r.mem, b.e.chunks...)
	}
	return r, nil
}

// reader streams a body; it holds one record at a time.
type reader struct {
	s    *Store
	e    *entry
	mem  [][]byte
	recs []record
	buf  []byte
	rest []byte
}

// Read reads on. A record that does not check is an error before any byte of it.
func (r *reader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		switch {
		case len(r.mem) > 0:
			r.rest, r.mem = r.mem[0], r.mem[1:]
		case len(r.recs) > 0:
			rec := r.recs[0]
			if cap(r.buf) < recordHeaderSize+rec.length {
				r.buf = make([]byte, recordHeaderSize+rec.length)
			}
			data, err := r.s.log.read(rec, r.buf[:cap(r.buf)])
			if err != nil {
				r.s.lost(r.e, err)
				return 0, err
			}
			r.rest, r.recs = data, r.recs[1:]
			r.s.log.unpin(rec.segment)
		default:
			return 0, io.EOF
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close gives up what was not read.
func (r *reader) Close() error {
	for _, rec := range r.recs {
		r.s.log.unpin(rec.segment)
	}
	r.recs, r.mem = nil, nil
	return nil
}
