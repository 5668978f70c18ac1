package bodystore

import "io"

// Body is one query's reference to a stored body. Its methods are safe for concurrent use and don't
// wait for the disk. Reading from the reader that Open returns may wait for it.
type Body struct {
	store     *Store
	entry     *entry
	onEvicted func() // guarded by Store.mu
}

// Size returns the length of the body in bytes.
func (b *Body) Size() int64 { return b.entry.size }

// OnEvicted sets the function to call once, when the body can no longer be read. If the body has already
// been evicted, OnEvicted calls f before it returns.
func (b *Body) OnEvicted(f func()) {
	b.store.mu.Lock()
	b.onEvicted = f
	evicted := b.entry.evicted
	b.store.mu.Unlock()
	if evicted {
		f()
	}
}

// MarkSent records that all parts of this query have been sent. The body may be evicted once this holds for
// every query that references it.
func (b *Body) MarkSent() {
	s, e := b.store, b.entry
	s.mu.Lock()
	moves := s.resumeFiles()
	if _, referenced := e.refs[b]; referenced && !e.evicted {
		e.refs[b] = false
		if !e.isPending() {
			moves = append(moves, s.state.MarkSent(e.id, s.cfg.Now())...)
		}
	}
	s.applyAndUnlock(moves)
}

// MarkPending records that a part of this query has yet to be sent, for the first time or again. The body is
// not evicted before MarkSent or Release.
func (b *Body) MarkPending() {
	s, e := b.store, b.entry
	s.mu.Lock()
	moves := s.resumeFiles()
	if _, referenced := e.refs[b]; referenced && !e.evicted {
		e.refs[b] = true
		s.state.MarkPending(e.id)
	}
	s.applyAndUnlock(moves)
}

// Release ends the reference. The body is removed with its last reference. A second call has no effect.
func (b *Body) Release() {
	s, e := b.store, b.entry
	s.mu.Lock()
	moves := s.resumeFiles()
	_, referenced := e.refs[b]
	delete(e.refs, b)
	switch {
	case !referenced || e.evicted:
	case len(e.refs) == 0:
		s.state.Remove(e.id)
		s.remove(e) // returns no callbacks, as no references are left
	case !e.isPending():
		moves = append(moves, s.state.MarkSent(e.id, s.cfg.Now())...)
	}
	s.applyAndUnlock(moves)
}

// Open returns a reader of the body from its start, or ErrEvicted. The reader stays usable if the body is moved
// or evicted while it is open. An error from the reader other than io.EOF means that the body could not be read
// and has been removed.
func (b *Body) Open() (io.ReadCloser, error) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.entry.evicted {
		return nil, ErrEvicted
	}
	r := &reader{store: b.store, entry: b.entry}
	if len(b.entry.records) > 0 {
		r.records = append(r.records, b.entry.records...)
		b.store.log.pinAll(r.records)
	} else {
		r.chunks = append(r.chunks, b.entry.chunks...)
	}
	return r, nil
}
