package http1

import (
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// readRequestBody reads the body of req. A large body goes to req.BodySink if NewBodySink provides one; the returned
// bytes are nil then. If the body cannot be read completely, the sink is aborted and removed from req.
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

// readBody reads the body that follows header. A message with neither Content-Length nor Transfer-Encoding has no body,
// unless untilEOF is set (for responses): then the body extends to the end of the stream. Messages with more than one
// Content-Length, or with Content-Length and Transfer-Encoding, are rejected: two readers of such a message may
// disagree on where it ends.
func (r *Reader) readBody(header textproto.MIMEHeader, untilEOF bool, selector *sinkSelector) ([]byte, error) {
	encodings, lengths := header[headerTransferEncoding], header[headerContentLength]
	switch {
	case len(encodings) > 0 && len(lengths) > 0:
		return nil, errorf(statusBadRequest, "both Content-Length and Transfer-Encoding are given")
	case len(encodings) > 1 || len(encodings) == 1 && !strings.EqualFold(encodings[0], encodingChunked):
		return nil, errorf(statusNotImplemented, "unsupported Transfer-Encoding %q", encodings)
	case len(encodings) == 1:
		return r.readChunked(selector)
	case len(lengths) > 1:
		return nil, errorf(statusBadRequest, "more than one Content-Length")
	case len(lengths) == 1:
		return r.readSized(lengths[0], selector)
	case untilEOF:
		return r.readUntilEOF()
	}
	return nil, nil
}

// readSized reads a body whose length in bytes is the given Content-Length value.
func (r *Reader) readSized(length string, selector *sinkSelector) ([]byte, error) {
	size, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return nil, errorf(statusBadRequest, "invalid Content-Length")
	}
	if int64(size) > r.maxBody {
		return nil, errorf(statusContentTooLarge, "body too large: %d bytes, limit %d", size, r.maxBody)
	}
	r.bounded.N = int64(size)
	if selector.selectSink(int64(size)) {
		return nil, r.copyToSink(selector.request.BodySink, int64(size))
	}
	return r.appendBody(nil, int64(size))
}

// appendBody reads n bytes and appends them to body.
func (r *Reader) appendBody(body []byte, n int64) ([]byte, error) {
	for n > 0 {
		var err error
		if body, err = r.growBody(body, n); err != nil {
			return nil, err
		}
		next := min(n, int64(cap(body)-len(body)))
		start := len(body)
		body = body[:start+int(next)]
		if _, err := io.ReadFull(r.buf, body[start:]); err != nil {
			return nil, bodyError(err)
		}
		n -= next
	}
	return body, nil
}

// readUntilEOF reads a body that extends to the end of the stream.
func (r *Reader) readUntilEOF() ([]byte, error) {
	r.bounded.N = r.maxBody + 1
	body, err := io.ReadAll(r.buf)
	if int64(len(body)) > r.maxBody {
		return nil, errorf(statusContentTooLarge, "body too large: no length given, limit %d bytes", r.maxBody)
	}
	return body, err
}
