package bodystore

import (
	"lukechampine.com/blake3"

	"linkpass/internal/bodystore/tier"
)

// Writer stores a body while it arrives. It is not safe for concurrent use. Commit or Abort ends it.
type Writer struct {
	store *Store
	entry *entry
	hash  *blake3.Hasher
	ended bool
}

// NewWriter starts a body of size 0 for a query with the given class index and priority weight.
func (s *Store) NewWriter(class int, priorityWeight float64) *Writer {
	e := &entry{class: class, refs: map[*Body]bool{}}
	s.mu.Lock()
	s.lastID++
	e.id = s.lastID
	s.entries[e.id] = e
	s.state.Add(e.id, class, priorityWeight)
	s.mu.Unlock()
	return &Writer{store: s, entry: e, hash: blake3.New(32, nil)}
}

// Write appends p to the body and doesn't retain p. It may wait for the disk. The error is ErrNoCapacity; the body
// has then been removed.
func (w *Writer) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		chunk := p[:min(len(p), maxRecordData)]
		if err := w.writeChunk(chunk); err != nil {
			w.Abort()
			return n, err
		}
		n, p = n+len(chunk), p[len(chunk):]
	}
	return n, nil
}

// writeChunk appends a chunk in memory, or in files if the body is there.
func (w *Writer) writeChunk(chunk []byte) error {
	_, _ = w.hash.Write(chunk) // never fails
	s, e := w.store, w.entry
	e.moveMu.Lock()
	defer e.moveMu.Unlock()
	s.mu.Lock()
	moves := s.resumeFiles()
	growMoves, hasCapacity := s.state.Grow(e.id, int64(len(chunk)))
	moves = append(moves, growMoves...)
	callbacks := s.apply(moves, e)
	if hasCapacity && !e.evicted {
		e.append(chunk)
	} else {
		s.count(e, "refused")
		callbacks = append(callbacks, s.remove(e)...)
	}
	evicted, inFiles := e.evicted, e.inFiles
	s.mu.Unlock()
	runAll(callbacks)
	switch {
	case evicted:
		return ErrNoCapacity
	case movesToFile(moves, e.id): // including this chunk
		s.moveToFiles(e)
	case inFiles:
		return w.appendToFiles(chunk)
	}
	return nil
}

func movesToFile(moves []tier.Move, id tier.ID) bool {
	for _, m := range moves {
		if m.ID == id && m.To == tier.File {
			return true
		}
	}
	return false
}

// appendToFiles appends a chunk to a body in files. If the write fails, the body is rejected, as it can't be moved
// back to memory.
func (w *Writer) appendToFiles(chunk []byte) error {
	s, e := w.store, w.entry
	r, err := s.log.append(chunk)
	if err != nil {
		s.suspendFiles(err)
		s.mu.Lock()
		s.count(e, "refused")
		s.mu.Unlock()
		return ErrNoCapacity
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.evicted {
		s.log.free(r)
		return ErrNoCapacity
	}
	e.records = append(e.records, r)
	return nil
}

// Abort removes the body. It has no effect after Commit or after Write has failed.
func (w *Writer) Abort() {
	if w.ended {
		return
	}
	w.ended = true
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.state.Remove(w.entry.id)
	w.store.remove(w.entry)
}

// Commit marks the body as complete and returns a reference to it. If a body with the same content is already
// stored, the reference is to that one. The error is ErrNoCapacity if the body has been removed.
func (w *Writer) Commit() (*Body, error) {
	s := w.store
	if w.ended {
		return nil, ErrNoCapacity
	}
	w.ended = true
	b := &Body{store: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.entry.evicted {
		return nil, ErrNoCapacity
	}
	copy(w.entry.hash[:], w.hash.Sum(nil))
	b.entry = s.shareOrIndex(w.entry)
	b.entry.refs[b] = true
	s.state.MarkPending(b.entry.id)
	return b, nil
}

// shareOrIndex returns the stored entry with the same content as e and removes e, or, if there is none, indexes
// and returns e. The caller holds mu.
func (s *Store) shareOrIndex(e *entry) *entry {
	if stored := s.byHash[e.hash]; stored != nil && !stored.evicted && stored.size == e.size {
		s.state.Remove(e.id)
		s.remove(e)
		s.count(stored, "shared")
		return stored
	}
	s.byHash[e.hash], e.indexed = e, true
	s.state.MarkArrived(e.id)
	s.count(e, "kept")
	return e
}
