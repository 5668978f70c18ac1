package http1

import "io"

const (
	sinkThreshold  = 4 << 10  // bytes; a larger body goes to a sink, where there is one
	sinkWriteBytes = 16 << 10 // bytes of a body that lie in memory at a time
)

// sinkSelector decides whether a request's body goes to a sink. Nil selects none.
type sinkSelector struct {
	request *Request
	newSink func(*Request) BodySink
}

// selects reports whether a body of a size goes to a sink, which is in the request's BodySink from then on.
func (s *sinkSelector) selects(size int64) bool {
	if s == nil || size <= sinkThreshold {
		return false
	}
	if s.request.BodySink == nil {
		s.request.BodySink = s.newSink(s.request)
	}
	return s.request.BodySink != nil
}

// copyToSink moves a number of bytes from the connection to a sink.
func (r *Reader) copyToSink(sink BodySink, size int64) error {
	buf := make([]byte, min(size, sinkWriteBytes))
	for size > 0 {
		next := buf[:min(size, sinkWriteBytes)]
		if _, err := io.ReadFull(r.buf, next); err != nil {
			return bodyError(err)
		}
		if _, err := sink.Write(next); err != nil {
			return err
		}
		size -= int64(len(next))
	}
	return nil
}
