package bodystore

import (
	"bytes"
	"sync"

	"linkpass/internal/bodystore/tier"
	"linkpass/internal/eventlog"
)

// entry is one stored body, shared by all queries whose bodies have the same content.
type entry struct {
	id    tier.ID
	class int

	// Guarded by Store.mu.
	size    int64
	hash    [32]byte
	indexed bool // whether the entry is in Store.byHash
	chunks  [][]byte
	records []record       // replace chunks once the body is in files
	refs    map[*Body]bool // value true: a part of that query has yet to be sent
	evicted bool

	moveMu  sync.Mutex // held while data is added or written to files; locked before Store.mu
	inFiles bool       // whether records replace chunks; guarded by moveMu
}

// append adds a chunk that has arrived. For an entry in files it only counts the bytes; the Writer writes the
// record. The caller holds moveMu and Store.mu.
func (e *entry) append(chunk []byte) {
	e.size += int64(len(chunk))
	if !e.inFiles {
		e.chunks = append(e.chunks, bytes.Clone(chunk))
	}
}

// isPending reports whether any query that references the entry has a part yet to be sent.
func (e *entry) isPending() bool {
	for _, pending := range e.refs {
		if pending {
			return true
		}
	}
	return false
}

// remove deletes an entry and returns the eviction callbacks of its references. The caller holds Store.mu and
// calls the callbacks after unlocking it.
func (s *Store) remove(e *entry) (callbacks []func()) {
	if e.evicted {
		return nil
	}
	e.evicted = true
	delete(s.entries, e.id)
	if e.indexed {
		delete(s.byHash, e.hash)
	}
	for b := range e.refs {
		if b.onEvicted != nil {
			callbacks = append(callbacks, b.onEvicted)
		}
	}
	for _, r := range e.records {
		s.log.free(r)
	}
	e.chunks, e.records = nil, nil
	return callbacks
}

// removeUnreadable removes an entry whose data can't be read from files, and logs the loss.
func (s *Store) removeUnreadable(e *entry, err error) {
	s.mu.Lock()
	s.count(e, "lost")
	s.lossLog.Log(eventlog.BodyLost, e.class, e.size, err)
	s.state.Remove(e.id)
	callbacks := s.remove(e)
	s.mu.Unlock()
	runAll(callbacks)
}

func runAll(callbacks []func()) {
	for _, f := range callbacks {
		f()
	}
}
