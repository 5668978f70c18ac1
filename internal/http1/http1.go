// Package http1 is HTTP/1.1 on net/textproto over net: messages with bounded
// headers and bodies, sized or chunked, and connections that stay alive.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// Limits on what is read.
const (
	MaxHeader = 16 << 10
	MaxBody   = 64 << 10
)

// Error is a message that can't be taken; Status is what its sender is told.
type Error struct {
	Status     int
	Reason     string
	RetryAfter string // seconds; "": no advice
}

func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

func malformed(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Request is one request.
type Request struct {
	Method, Path, Query string
	Header              textproto.MIMEHeader
	Body                []byte
	BodySink            BodySink // of a large body, in place of Body; nil: there is none
	Close               bool     // the sender wants the connection closed
}

// BodySink takes a large body in while it arrives, in pieces that it must not keep. An error of
// Write that is an *Error is told to the client. Abort gives up what was taken, unless somebody
// else has made use of it.
type BodySink interface {
	Write(p []byte) (int, error)
	Abort()
}

const (
	spoolFrom  = 4 << 10  // bodies above this are spooled, where there is a spool
	spoolPiece = 16 << 10 // bytes of a body that lie here at a time
)

// Response is one response.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool
}

// Reader reads messages off one connection.
type Reader struct {
	bounded *io.LimitedReader
	buf     *bufio.Reader
	text    *textproto.Reader
	maxBody int64
	// NewBodySink makes the spool of a request's body, above a size; nil: it is to lie in Body.
	NewBodySink func(*Request) BodySink
}

// NewReader reads from r; bodies may have up to maxBody bytes, 0 for MaxBody.
func NewReader(r io.Reader, maxBody int64) *Reader {
	if maxBody <= 0 {
		maxBody = MaxBody
	}
	bounded := &io.LimitedReader{R: r, N: MaxHeader}
	buf := bufio.NewReaderSize(bounded, 4<<10)
	return &Reader{bounded: bounded, buf: buf, text: textproto.NewReader(buf), maxBody: maxBody}
}

// Wait waits for the first byte of the next message.
func (r *Reader) Wait() error {
	r.bounded.N = MaxHeader
	_, err := r.buf.Peek(1)
	return err
}

// cut tells a stream that was cut short from one that ran into the bound.
func (r *Reader) cut(err error, status int) error {
	if r.bounded.N <= 0 {
		return malformed(status, "message too long")
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return malformed(400, "%s", string(protocol))
	}
	return err
}

// Request reads a request.
func (r *Reader) Request() (*Request, error) {
	r.bounded.N = MaxHeader
	line, err := r.text.ReadLine()
	if err != nil {
		return nil, r.cut(err, 431)
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || !isToken(method) || !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \t") {
		return nil, malformed(400, "bad request line")
	}
	minor, err := versionOf(version)
	if err != nil {
		return nil, err
	}
	req := &Request{Method: method}
	req.Path, req.Query, _ = strings.Cut(target, "?")
	if req.Header, err = r.header(); err != nil {
		return nil, err
	}
	if hosts := req.Header["Host"]; minor == 1 && len(hosts) != 1 {
		return nil, malformed(400, "need one Host header")
	}
	req.Close = closes(req.Header, minor)
	if r.NewBodySink == nil {
		req.Body, err = r.body(req.Header, false, nil)
		return req, err
	}
	b := &spooled{req: req, make: r.NewBodySink}
	if req.Body, err = r.body(req.Header, false, b); err != nil && req.BodySink != nil {
		req.BodySink.Abort()
		req.BodySink = nil
	}
	return req, err
}

// spooled moves a body to a spool once it is too large to lie in memory.
type spooled struct {
	req  *Request
	make func(*Request) BodySink
}

// over tells whether a body of so many bytes goes to a spool; from then on all of it does.
func (b *spooled) over(n int64) bool {
	if b == nil || n <= spoolFrom {
		return false
	}
	if b.req.BodySink == nil {
		b.req.BodySink = b.make(b.req)
	}
	return b.req.BodySink != nil
}

// copy moves so many bytes from the connection to the spool.
func (r *Reader) copy(to BodySink, n int64) error {
	buf := make([]byte, min(n, spoolPiece))
	for n > 0 {
		piece := buf[:min(n, spoolPiece)]
		if _, err := io.ReadFull(r.buf, piece); err != nil {
			return r.short(err)
		}
		if _, err := to.Write(piece); err != nil {
			return err
		}
		n -= int64(len(piece))
	}
	return nil
}

// Response reads a response to a request that was no HEAD.
func (r *Reader) Response() (*Response, error) {
	for {
		r.bounded.N = MaxHeader
		line, err := r.text.ReadLine()
		if err != nil {
			return nil, r.cut(err, 431)
		}
		version, rest, _ := strings.Cut(line, " ")
		minor, err := versionOf(version)
		if err != nil {
			return nil, err
		}
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 {
			return nil, malformed(502, "bad status line %q", line)
		}
		res := &Response{Status: status}
		if res.Header, err = r.header(); err != nil {
			return nil, err
		}
		if status < 200 {
			continue // an interim response
		}
		res.Close = closes(res.Header, minor)
		if status != 204 && status != 304 {
			res.Body, err = r.body(res.Header, true, nil)
		}
		return res, err
	}
}

func versionOf(v string) (minor int, err error) {
	switch v {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if strings.HasPrefix(v, "HTTP/") {
		return 0, malformed(505, "version %q", v)
	}
	return 0, malformed(400, "no HTTP version")
}

func isToken(s string) bool {
	return s != "" && strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-") == ""
}

func (r *Reader) header() (textproto.MIMEHeader, error) {
	h, err := r.text.ReadMIMEHeader()
	if err != nil {
		return nil, r.cut(err, 431)
	}
	return h, nil
}

// closes tells whether a message ends its connection.
func closes(h textproto.MIMEHeader, minor int) bool {
	for _, v := range h["Connection"] {
		for item := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.TrimSpace(item)) {
			case "close":
				return true
			case "keep-alive":
				return false
			}
		}
	}
	return minor == 0
}

// body reads a body; one that is neither sized nor chunked is empty in a
// request and lasts until the stream's end in a response.
func (r *Reader) body(h textproto.MIMEHeader, untilEnd bool, spool *spooled) ([]byte, error) {
	coding, lengths := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(coding) > 0 && len(lengths) > 0:
		// Guards against two readers that see different ends of a message.
		return nil, malformed(400, "both sized and chunked")
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return nil, malformed(501, "transfer encoding %q", coding)
	case len(coding) == 1:
		return r.chunks(spool)
	case len(lengths) > 1:
		return nil, malformed(400, "several lengths")
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, malformed(400, "bad length")
		}
		if int64(n) > r.maxBody {
			return nil, malformed(413, "body of %d bytes", n)
		}
		r.bounded.N = int64(n)
		if spool.over(int64(n)) {
			return nil, r.copy(spool.req.BodySink, int64(n))
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r.buf, body); err != nil {
			return nil, r.short(err)
		}
		return body, nil
	case untilEnd:
		r.bounded.N = r.maxBody + 1
		body, err := io.ReadAll(r.buf)
		if int64(len(body)) > r.maxBody {
			return nil, malformed(413, "body without an end")
		}
		return body, err
	}
	return nil, nil
}

// short is the error of a body that ends early.
func (*Reader) short(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) chunks(spool *spooled) ([]byte, error) {
	var body []byte
	var size int64
	for {
		r.bounded.N = MaxHeader
		line, err := r.text.ReadLine()
		if err != nil {
			return nil, r.cut(err, 400)
		}
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
		if err != nil {
			return nil, malformed(400, "bad chunk length")
		}
		if size += int64(n); size > r.maxBody {
			return nil, malformed(413, "chunks over %d bytes", r.maxBody)
		}
		if n == 0 {
			r.bounded.N = MaxHeader
			if _, err := r.header(); err != nil { // trailers
				return nil, err
			}
			return body, nil
		}
		r.bounded.N = int64(n) + 2
		if spool.over(size) {
			if err := r.chunkTo(spool.req.BodySink, body, int64(n)); err != nil {
				return nil, err
			}
			body = nil
			continue
		}
		at := len(body)
		body = append(body, make([]byte, n+2)...)
		if _, err := io.ReadFull(r.buf, body[at:]); err != nil {
			return nil, r.short(err)
		}
		if !bytes.HasSuffix(body, []byte("\r\n")) {
			return nil, malformed(400, "chunk without an end")
		}
		body = body[:len(body)-2]
	}
}

// chunkTo moves a chunk to a spool, behind what came before it.
func (r *Reader) chunkTo(to BodySink, before []byte, n int64) error {
	if len(before) > 0 {
		if _, err := to.Write(before); err != nil {
			return err
		}
	}
	if err := r.copy(to, n); err != nil {
		return err
	}
	var mark [2]byte
	if _, err := io.ReadFull(r.buf, mark[:]); err != nil {
		return r.short(err)
	}
	if mark != [2]byte{'\r', '\n'} {
		return malformed(400, "chunk without an end")
	}
	return nil
}

// reasons of the status codes in use.
var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	307: "Temporary Redirect", 504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// WriteResponse writes a response in one piece.
func WriteResponse(w io.Writer, res *Response) error {
	reason := reasons[res.Status]
	if reason == "" {
		reason = "Status"
	}
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", res.Status, reason)
	b = appendHeader(b, res.Header, len(res.Body), res.Close)
	_, err := w.Write(append(b, res.Body...))
	return err
}

// WriteRequest writes a request in one piece; path holds the query too.
func WriteRequest(w io.Writer, method, path, host string, header textproto.MIMEHeader, body []byte) error {
	b := RequestHead(method, path, host, header, int64(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}

// RequestHead words a request up to its body of that size.
func RequestHead(method, path, host string, header textproto.MIMEHeader, size int64) []byte {
	return appendHeader(fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host), header, int(size), false)
}

func appendHeader(b []byte, h textproto.MIMEHeader, length int, last bool) []byte {
	for key, values := range h {
		for _, v := range values {
			b = fmt.Appendf(b, "%s: %s\r\n", key, v)
		}
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n", length)
}
