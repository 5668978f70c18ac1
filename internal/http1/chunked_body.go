package http1

import (
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"
)

// A connection pays for its chunks in groups: each chunk costs processor time, however small it is.
const (
	chunksPerTurn = 128
	chunkCost     = time.Microsecond
)

// chunkEnd terminates the data of each chunk.
const chunkEnd = "\r\n"

// readChunked reads a chunked body and its trailer fields, which are discarded.
func (r *Reader) readChunked(selector *sinkSelector) ([]byte, error) {
	var body []byte
	var total int64
	for chunks := 1; ; chunks++ {
		if chunks%chunksPerTurn == 0 {
			r.flow.Charge(chunksPerTurn * chunkCost)
			r.flow.Pass()
		}
		size, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if total += size; total > r.maxBody {
			return nil, errorf(statusContentTooLarge, "chunked body too large: limit %d bytes", r.maxBody)
		}
		if size == 0 {
			return r.readTrailers(body)
		}
		r.bounded.N = size + int64(len(chunkEnd))
		if selector.selectSink(total) {
			err = r.copyChunkToSink(selector.request.BodySink, body, size)
			body = nil
		} else {
			body, err = r.appendChunk(body, size)
		}
		if err != nil {
			return nil, err
		}
	}
}

// readChunkSize reads the first line of a chunk and returns the chunk's size in bytes. Chunk extensions are ignored.
func (r *Reader) readChunkSize() (int64, error) {
	r.bounded.N = MaxHeader
	line, err := r.text.ReadLine()
	if err != nil {
		return 0, r.readError(err, statusBadRequest)
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
	if err != nil {
		return 0, errorf(statusBadRequest, "invalid chunk size")
	}
	return int64(size), nil
}

// readTrailers reads and discards the trailer fields that follow body, and returns body.
func (r *Reader) readTrailers(body []byte) ([]byte, error) {
	r.bounded.N = MaxHeader
	if _, err := r.readHeader(); err != nil {
		return nil, err
	}
	return body, nil
}

// appendChunk reads a chunk of size bytes and appends its data to body.
func (r *Reader) appendChunk(body []byte, size int64) ([]byte, error) {
	body, err := r.appendBody(body, size+int64(len(chunkEnd)))
	if err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(body, []byte(chunkEnd)) {
		return nil, errorf(statusBadRequest, "chunk data is not followed by CRLF")
	}
	return body[:len(body)-len(chunkEnd)], nil
}

// copyChunkToSink copies a chunk of size bytes to sink. It first writes before, the chunks that were read into memory
// before the sink was selected.
func (r *Reader) copyChunkToSink(sink BodySink, before []byte, size int64) error {
	if len(before) > 0 {
		if _, err := sink.Write(before); err != nil {
			return err
		}
	}
	if err := r.copyToSink(sink, size); err != nil {
		return err
	}
	var end [len(chunkEnd)]byte
	if _, err := io.ReadFull(r.buf, end[:]); err != nil {
		return bodyError(err)
	}
	if string(end[:]) != chunkEnd {
		return errorf(statusBadRequest, "chunk data is not followed by CRLF")
	}
	return nil
}
