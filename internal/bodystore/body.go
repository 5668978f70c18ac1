package bodystore

import "io"

// Body is one query's reference to a stored body. Its methods are safe for concurrent use and don't
// wait for a disk.
type Body struct {
	store     *Store
	entry     *entry
	onEvicted func() // guarded by Store.mu
}

// Size returns the length in bytes.
func (b *Body) Size() int64 { return b.entry.size }

// OnEvicted sets the function to call, once, when the body can't be read any more; at once if that is
// so already.
func (b *Body) OnEvicted(f func()) {
	b.store.mu.Lock()
	b.onEvicted = f
	evicted := b.entry.evicted
	b.store.mu.Unlock()
	if evicted {
		f()
	}
}

// MarkSent says that this query's parts have been sent: the body may be evicted.
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

// MarkPending says that a part of this query has to be sent, or sent again: the body is not evicted.
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

// Release ends the reference; the last one removes the body. A second call has no effect.
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
		s.remove(e) // without references there are no callbacks
	case !e.isPending():
		moves = append(moves, s.state.MarkSent(e.id, s.cfg.Now())...)
	}
	s.applyAndUnlock(moves)
}

// Open returns a reader of the body from its start. The reader's data stay readable if the body is moved or
// evicted meanwhile. The error is ErrEvicted; one while reading means that the body has been removed.
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
