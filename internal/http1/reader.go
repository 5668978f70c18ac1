package http1

import (
	"bufio"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

const readBufferBytes = 4 << 10

// Reader reads messages off one connection. It belongs to one goroutine.
//
// The error of a message that is rejected is an *Error; of a stream that ends within a message it is
// io.ErrUnexpectedEOF; others are those of the connection.
type Reader struct {
	bounded *io.LimitedReader // bounds what is read of the part of a message that is next
	buf     *bufio.Reader
	text    *textproto.Reader
	maxBody int64 // bytes
	// NewBodySink creates the sink of a large request body. If it is nil or returns nil, the body lies in Body.
	NewBodySink func(*Request) BodySink
}

// NewReader reads from r. A body has at most maxBody bytes; 0 or less stands for MaxBody.
func NewReader(r io.Reader, maxBody int64) *Reader {
	if maxBody <= 0 {
		maxBody = MaxBody
	}
	bounded := &io.LimitedReader{R: r, N: MaxHeader}
	buf := bufio.NewReaderSize(bounded, readBufferBytes)
	return &Reader{bounded: bounded, buf: buf, text: textproto.NewReader(buf), maxBody: maxBody}
}

// Wait waits for the first byte of the next message. The error is the connection's.
func (r *Reader) Wait() error {
	r.bounded.N = MaxHeader
	_, err := r.buf.Peek(1)
	return err
}

// Request reads a request.
func (r *Reader) Request() (*Request, error) {
	line, err := r.readStartLine()
	if err != nil {
		return nil, err
	}
	req, minor, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if req.Header, err = r.readHeader(); err != nil {
		return nil, err
	}
	if hosts := req.Header[headerHost]; minor == 1 && len(hosts) != 1 {
		return nil, malformed(statusBadRequest, "need one Host header")
	}
	req.Close = closesConn(req.Header, minor)
	req.Body, err = r.readRequestBody(req)
	return req, err
}

// Response reads a response to a request that was not HEAD. Interim responses are skipped.
func (r *Reader) Response() (*Response, error) {
	for {
		res, minor, err := r.readResponseHead()
		if err != nil {
			return nil, err
		}
		if res.Status < statusFirstFinal {
			continue
		}
		res.Close = closesConn(res.Header, minor)
		if res.Status != statusNoContent && res.Status != statusNotModified {
			res.Body, err = r.readBody(res.Header, true, nil)
		}
		return res, err
	}
}

// readResponseHead reads a status line and the header; minor is that of the version HTTP/1.minor.
func (r *Reader) readResponseHead() (res *Response, minor int, err error) {
	line, err := r.readStartLine()
	if err != nil {
		return nil, 0, err
	}
	version, rest, _ := strings.Cut(line, " ")
	if minor, err = parseVersion(version); err != nil {
		return nil, 0, err
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, 0, malformed(statusBadGateway, "bad status line %q", line)
	}
	res = &Response{Status: status}
	if res.Header, err = r.readHeader(); err != nil {
		return nil, 0, err
	}
	return res, minor, nil
}

// readStartLine reads a request's or response's first line.
func (r *Reader) readStartLine() (string, error) {
	r.bounded.N = MaxHeader
	line, err := r.text.ReadLine()
	if err != nil {
		return "", r.readError(err, statusHeaderTooLarge)
	}
	return line, nil
}

// readHeader reads header fields. They share the limit of the line before them.
func (r *Reader) readHeader() (textproto.MIMEHeader, error) {
	header, err := r.text.ReadMIMEHeader()
	if err != nil {
		return nil, r.readError(err, statusHeaderTooLarge)
	}
	return header, nil
}
