package http1

import (
	"bufio"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"linkpass/internal/fairqueue"
	"linkpass/internal/membudget"
)

const readBufferBytes = 4 << 10 // size of the buffer of a Reader

// Reader reads HTTP messages from one connection. It is not safe for concurrent use.
//
// Its methods return an *Error for a message that is rejected, io.ErrUnexpectedEOF for a stream that ends within a
// message, and otherwise the errors of the connection.
type Reader struct {
	bounded *io.LimitedReader // N is set to the size limit of each part of a message before that part is read
	buf     *bufio.Reader
	text    *textproto.Reader
	maxBody int64 // bytes
	// Of the connection that a Server reads from; nil otherwise.
	flow    *fairqueue.Flow
	account *membudget.Account
	fields  []string // the header fields that a request keeps; nil: all
	// NewBodySink creates the sink of a large request body. If it is nil or returns nil, the body is read into
	// Request.Body.
	NewBodySink func(*Request) BodySink
}

// NewReader returns a Reader that reads from r. A body may have at most maxBody bytes; if maxBody is 0 or less, the
// limit is DefaultMaxBody.
func NewReader(r io.Reader, maxBody int64) *Reader {
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	bounded := &io.LimitedReader{R: r, N: MaxHeader}
	buf := bufio.NewReaderSize(bounded, readBufferBytes)
	return &Reader{bounded: bounded, buf: buf, text: textproto.NewReader(buf), maxBody: maxBody}
}

// Wait waits for the first byte of the next message. Its error is that of the connection.
func (r *Reader) Wait() error {
	r.bounded.N = MaxHeader
	_, err := r.buf.Peek(1)
	return err
}

// Request reads the next request.
func (r *Reader) Request() (*Request, error) {
	head, err := r.bufferHead()
	if err != nil {
		return nil, err
	}
	var req *Request
	r.flow.Do(time.Duration(len(head))*parseCost, func() { req, err = parseHead(head, r.fields) })
	if err != nil {
		return nil, err
	}
	req.flow, req.account = r.flow, r.account
	req.Body, err = r.readRequestBody(req)
	return req, err
}

// Response reads the next response, skipping interim (1xx) responses. The request must not have been a HEAD request.
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

// readResponseHead reads a status line and the header fields. minor is the minor version, as parseVersion returns it.
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
		return nil, 0, errorf(statusBadGateway, "malformed status line %q", line)
	}
	res = &Response{Status: status}
	if res.Header, err = r.readHeader(); err != nil {
		return nil, 0, err
	}
	return res, minor, nil
}

// readStartLine reads the first line of a request or response.
func (r *Reader) readStartLine() (string, error) {
	r.bounded.N = MaxHeader
	line, err := r.text.ReadLine()
	if err != nil {
		return "", r.readError(err, statusHeaderTooLarge)
	}
	return line, nil
}

// readHeader reads header fields. Their size counts against the same limit as the line or chunk before them.
func (r *Reader) readHeader() (textproto.MIMEHeader, error) {
	header, err := r.text.ReadMIMEHeader()
	if err != nil {
		return nil, r.readError(err, statusHeaderTooLarge)
	}
	return header, nil
}
