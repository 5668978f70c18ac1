package outcome

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// FromDialError returns the outcome of a dial that failed with err.
func FromDialError(err error) Outcome {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return DialTimeout
	}
	return DialFailed
}

// FromReadError returns the outcome of the work in flight on a connection whose next message could not be read
// because of err. betweenMessages is true if the stream ended between two messages.
func FromReadError(err error, betweenMessages bool) Outcome {
	var op *net.OpError
	switch {
	case betweenMessages, errors.Is(err, net.ErrClosed): // net.ErrClosed: closed by this process
		return ConnClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &op),
		errors.Is(err, io.ErrUnexpectedEOF): // ended inside a message
		return ConnReset
	}
	return MalformedResponse
}
