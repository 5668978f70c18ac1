package http1

import "io"

const readAheadBlockBytes = 512

// readAhead reads a connection. While a request is served it reads on, up to maxReadAheadBytes, so that a client that
// disconnects is seen also behind bytes that it sent before. It belongs to one goroutine at a time.
type readAhead struct {
	io.Reader
	buffered []byte // read ahead, and not yet returned by Read
	block    [readAheadBlockBytes]byte
}

// fill reads on until an error, or nil where the limit is reached.
func (a *readAhead) fill() error {
	for len(a.buffered) < maxReadAheadBytes {
		n, err := a.Reader.Read(a.block[:min(len(a.block), maxReadAheadBytes-len(a.buffered))])
		a.buffered = append(a.buffered, a.block[:n]...)
		if err != nil {
			return err
		}
	}
	return nil
}

// Read returns what was read ahead first. The error is the connection's.
func (a *readAhead) Read(p []byte) (int, error) {
	if len(a.buffered) == 0 {
		return a.Reader.Read(p)
	}
	n := copy(p, a.buffered)
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered = nil
	}
	return n, nil
}
