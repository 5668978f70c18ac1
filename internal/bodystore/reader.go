package bodystore

import "io"

// reader streams a body, with one record in memory at a time.
type reader struct {
	store   *Store
	entry   *entry
	chunks  [][]byte // to be read, if the body was in memory
	records []record // to be read, pinned
	buf     []byte   // of the current record
	unread  []byte   // of the current chunk or record
}

// Read implements io.Reader. A corrupt record is an error before any byte of it.
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

// next goes on to the next chunk or record.
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

// readRecord reads the first of the records left.
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

// Close releases the records not read.
func (r *reader) Close() error {
	r.store.log.unpinAll(r.records)
	r.records, r.chunks = nil, nil
	return nil
}
