package http1

import (
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// readRequestBody reads a request's body, into its BodySink where it is large.
func (r *Reader) readRequestBody(req *Request) ([]byte, error) {
	if r.NewBodySink == nil {
		return r.readBody(req.Header, false, nil)
	}
	body, err := r.readBody(req.Header, false, &sinkSelector{request: req, newSink: r.NewBodySink})
	if err != nil && req.BodySink != nil {
		req.BodySink.Abort()
		req.BodySink = nil
	}
	return body, err
}

// readBody reads a body. One that is neither sized nor chunked is empty; where untilEOF is set (in a response) it lasts
// until the stream ends. Guards against two readers that see different ends of a message: more than one length, or a
// length beside a transfer encoding, is rejected.
func (r *Reader) readBody(header textproto.MIMEHeader, untilEOF bool, sink *sinkSelector) ([]byte, error) {
	encodings, lengths := header[headerTransferEncoding], header[headerContentLength]
	switch {
	case len(encodings) > 0 && len(lengths) > 0:
		return nil, malformed(statusBadRequest, "both sized and chunked")
	case len(encodings) > 1 || len(encodings) == 1 && !strings.EqualFold(encodings[0], encodingChunked):
		return nil, malformed(statusNotImplemented, "transfer encoding %q", encodings)
	case len(encodings) == 1:
		return r.readChunked(sink)
	case len(lengths) > 1:
		return nil, malformed(statusBadRequest, "several lengths")
	case len(lengths) == 1:
		return r.readSized(lengths[0], sink)
	case untilEOF:
		return r.readUntilEOF()
	}
	return nil, nil
}

// readSized reads a body of the length that the header names.
func (r *Reader) readSized(length string, sink *sinkSelector) ([]byte, error) {
	size, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return nil, malformed(statusBadRequest, "bad length")
	}
	if int64(size) > r.maxBody {
		return nil, malformed(statusContentTooLarge, "body of %d bytes", size)
	}
	r.bounded.N = int64(size)
	if sink.selects(int64(size)) {
		return nil, r.copyToSink(sink.request.BodySink, int64(size))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r.buf, body); err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// readUntilEOF reads a body that ends with the stream.
func (r *Reader) readUntilEOF() ([]byte, error) {
	r.bounded.N = r.maxBody + 1
	body, err := io.ReadAll(r.buf)
	if int64(len(body)) > r.maxBody {
		return nil, malformed(statusContentTooLarge, "body without an end")
	}
	return body, err
}
