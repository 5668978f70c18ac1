package outcome

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// FromDialError is the outcome of a dial that returned the error.
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

// FromReadError is the outcome of what is in flight on a connection whose next message could not be read because of the
// error; clean says that the stream ended between two messages.
func FromReadError(err error, clean bool) Outcome {
	var op *net.OpError
	switch {
	case clean, errors.Is(err, net.ErrClosed): // the latter: closed by this process
		return ConnClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &op),
		errors.Is(err, io.ErrUnexpectedEOF): // ended inside a message
		return ConnReset
	}
	return MalformedResponse
}
