package bodystore

import "io"

// reader streams a body. It holds at most one record of a body in files in memory at a time.
type reader struct {
	store   *Store
	entry   *entry
	chunks  [][]byte // yet to be read; empty if the body was in files
	records []record // yet to be read; their segments are pinned
	buf     []byte   // holds the current record
	unread  []byte   // rest of the current chunk or record
}

// Read implements io.Reader. It returns no byte of a corrupt record, only the error.
func (r *reader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// next sets unread to the next chunk or record, or returns io.EOF.
func (r *reader) next() error {
	switch {
	case len(r.chunks) > 0:
		r.unread, r.chunks = r.chunks[0], r.chunks[1:]
		return nil
	case len(r.records) > 0:
		return r.readRecord(r.records[0])
	default:
		return io.EOF
	}
}

// readRecord reads rec, the first of r.records, into unread. After an error it removes the body from the store.
func (r *reader) readRecord(rec record) error {
	if cap(r.buf) < recordHeaderSize+rec.length {
		r.buf = make([]byte, recordHeaderSize+rec.length)
	}
	data, err := r.store.log.read(rec, r.buf[:cap(r.buf)])
	if err != nil {
		r.store.removeUnreadable(r.entry, err)
		return err
	}
	r.unread, r.records = data, r.records[1:]
	r.store.log.unpin(rec.segment)
	return nil
}

// Close unpins the segments of the records that were not read.
func (r *reader) Close() error {
	r.store.log.unpinAll(r.records)
	r.records, r.chunks = nil, nil
	return nil
}
