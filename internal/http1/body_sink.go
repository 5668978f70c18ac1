package http1

import "io"

const (
	sinkThreshold  = 4 << 10  // bytes; a larger body is written to a sink if there is one
	sinkWriteBytes = 16 << 10 // bytes of a body that are in memory at a time, and the largest write to a sink
)

// sinkSelector decides whether the body of a request goes to a sink. A nil sinkSelector never selects one.
type sinkSelector struct {
	request *Request
	newSink func(*Request) BodySink
}

// selectSink reports whether a body of size bytes goes to a sink. If so, the request's BodySink is set; the first call
// that selects a sink creates it.
func (s *sinkSelector) selectSink(size int64) bool {
	if s == nil || size <= sinkThreshold {
		return false
	}
	if s.request.BodySink == nil {
		s.request.BodySink = s.newSink(s.request)
	}
	return s.request.BodySink != nil
}

// copyToSink copies size bytes of the body to sink, in writes of at most sinkWriteBytes.
func (r *Reader) copyToSink(sink BodySink, size int64) error {
	bufBytes := min(size, sinkWriteBytes)
	if err := r.reserve(bufBytes); err != nil {
		return err
	}
	buf := make([]byte, bufBytes)
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
