package http1

import "io"

const readAheadBlockBytes = 512 // size of one read while a request is served

// readAhead reads from a connection. While a request is served, fill buffers up to maxReadAheadBytes of what follows:
// a disconnect is only detected after all bytes sent before it have been read. A readAhead must be used by one
// goroutine at a time.
type readAhead struct {
	io.Reader
	buffered []byte // bytes that fill has read and Read has not yet returned
	block    [readAheadBlockBytes]byte
}

// fill reads into the buffer until the connection returns an error, or until the buffer holds maxReadAheadBytes; it
// returns nil then.
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

// Read returns the buffered bytes first, and then reads from the connection. Errors are those of the connection.
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
