package http1

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
)

// Error is the reason why a message is rejected. A server answers a rejected request with Status, with Reason as the
// body.
type Error struct {
	Status     int // HTTP status code
	Reason     string
	RetryAfter string // value of the Retry-After header, in seconds; if empty, the header is omitted
}

// Error returns the reason and the status.
func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

// errorf returns an *Error with a status and a formatted reason.
func errorf(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// readError converts the error of reading a start line, a chunk size or header fields: to an *Error with tooLongStatus
// if the size limit was reached, to io.ErrUnexpectedEOF if the stream ended early, and to an *Error with status 400 if
// the input is malformed. Other errors stay as they are.
func (r *Reader) readError(err error, tooLongStatus int) error {
	if r.bounded.N <= 0 {
		return errorf(tooLongStatus, "line or header too large")
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return errorf(statusBadRequest, "%s", string(protocol))
	}
	return err
}

// bodyError converts the error of reading a body: to io.ErrUnexpectedEOF if the stream ended early. Other errors stay
// as they are.
func bodyError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
