package http1

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
)

// Error is a message that is rejected. A server answers with Status and Reason.
type Error struct {
	Status     int // of HTTP
	Reason     string
	RetryAfter string // seconds; "": the response has no Retry-After
}

// Error names the reason and the status.
func (e *Error) Error() string { return fmt.Sprintf("http1: %s (%d)", e.Reason, e.Status) }

func malformed(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// readError is the error of a start line or header that could not be read: an *Error with tooLongStatus where the size
// limit was reached, io.ErrUnexpectedEOF where the stream ended early.
func (r *Reader) readError(err error, tooLongStatus int) error {
	if r.bounded.N <= 0 {
		return malformed(tooLongStatus, "message too long")
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return malformed(statusBadRequest, "%s", string(protocol))
	}
	return err
}

// bodyError is the error of a body that could not be read: io.ErrUnexpectedEOF where the stream ended early.
func bodyError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
