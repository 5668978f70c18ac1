package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/textproto"
	"slices"
	"sync"
)

const (
	initialHeadBytes = 512 // capacity of the buffer of a head when its first line arrives
	// maxFieldValues is how many values of one field are kept. A reader of a head needs the first, and whether there is
	// a second.
	maxFieldValues = 2
)

// ownFields are the header fields that this package reads.
var ownFields = []string{headerHost, headerConnection, headerContentLength, headerTransferEncoding}

// headReaders holds readers of heads that have arrived completely.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// bufferHead reads the start line and the header fields of a message, up to and including the empty line, without
// parsing them: a head takes no more memory than its bytes until it is complete.
func (r *Reader) bufferHead() (head []byte, err error) {
	r.bounded.N = MaxHeader
	for lines := 0; ; {
		piece, err := r.buf.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, r.readError(err, statusHeaderTooLarge)
		}
		if head, err = r.appendHead(head, piece); err != nil {
			return nil, err
		}
		if head[len(head)-1] != '\n' {
			continue // the line goes on
		}
		if lines++; lines > 1 && endsWithEmptyLine(head) || lines == 1 && len(bytes.TrimRight(head, "\r\n")) == 0 {
			return head, nil
		}
	}
}

// appendHead appends a piece to a head. The account of the connection pays for what the head's buffer grows.
func (r *Reader) appendHead(head, piece []byte) ([]byte, error) {
	if need := len(head) + len(piece); need > cap(head) {
		size := max(need, 2*cap(head), initialHeadBytes)
		if err := r.reserve(int64(size - cap(head))); err != nil {
			return nil, err
		}
		head = append(make([]byte, 0, size), head...)
	}
	return append(head, piece...), nil
}

// endsWithEmptyLine reports whether the last line of a head with several lines is empty.
func endsWithEmptyLine(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

// parseHead parses a complete head. Of the header fields, the request has those in kept, or all if kept is nil.
func parseHead(head []byte, kept []string) (req *Request, err error) {
	buf := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(buf)
	buf.Reset(bytes.NewReader(head))
	text := textproto.NewReader(buf)
	line, err := text.ReadLine()
	if err != nil {
		return nil, headError(err)
	}
	req, minor, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, headError(err)
	}
	if hosts := fields[headerHost]; minor == 1 && len(hosts) != 1 {
		return nil, errorf(statusBadRequest, "request must have exactly one Host header")
	}
	req.Close = closesConn(fields, minor)
	req.Header = keepFields(fields, kept)
	return req, nil
}

// headError converts the error of parsing a complete head.
func headError(err error) error {
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return errorf(statusBadRequest, "%s", string(protocol))
	}
	return errorf(statusBadRequest, "malformed header")
}

// keepFields returns the fields of the given names and those that this package reads, with at most maxFieldValues
// values each. The strings are copied out of the memory that the other fields share with them. If names is nil, it
// returns all fields unchanged.
func keepFields(fields textproto.MIMEHeader, names []string) textproto.MIMEHeader {
	if names == nil {
		return fields
	}
	kept := make(textproto.MIMEHeader, len(ownFields)+len(names))
	for _, list := range [][]string{ownFields, names} {
		for _, name := range list {
			if values := fields[name]; len(values) > 0 {
				kept[name] = slices.Clone(values[:min(len(values), maxFieldValues)])
			}
		}
	}
	return kept
}
