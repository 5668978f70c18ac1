// Package outcome names every way in which an attempt, a probe or the connection
// under it can end, and maps each to the module's outcome.
package outcome

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"linkpass/internal/routing"
)

// Outcome is one way to end. Nothing else in the program says how a connection
// went.
type Outcome uint8

// The ways to end.
const (
	Success           Outcome = iota // the server answered in full
	ServerError                      // the server answered that it failed
	Rejected                         // the server turned the work away unseen
	DialRefused                      // the connection was refused
	DialTimeout                      // the connection never came up
	DialFailed                       // no connection could be made for another reason
	WriteInterrupted                 // the connection broke before the last byte was written
	ConnReset                        // the connection was reset while work was out
	ConnClosed                       // the connection was closed in good order while work was out
	MalformedResponse                // what came could not be read, so the connection was closed
	BadRequest                       // the server said that it could not use what it got
	Timeout                          // nothing came in time
	Canceled                         // the module gave the attempt up
	NotSent                          // never written: the query was over or the server unfit
	QueueFull                        // never written: the way to the server was full
	ShardMoved                       // the slice is not there any more; nothing has run
	UnknownShardMap                  // the same, by a layout that nobody else knows of
	UnknownCoverage                  // the server does not tell which keys its answer covers
	DuplicateCoverage                // the answer covers keys that are in already, or that nobody asked for
	PartialCoverage                  // the server answered a piece of what was asked for
	BodyEvicted                      // never written whole: the body is not kept any more
)

var names = [...]string{
	Success: "served", ServerError: "server_error", Rejected: "turned_away",
	DialRefused: "dial_refused", DialTimeout: "dial_timeout", DialFailed: "dial_failed",
	WriteInterrupted: "cut_in_write", ConnReset: "broken", ConnClosed: "closed", MalformedResponse: "garbled",
	BadRequest: "rejected", Timeout: "silent", Canceled: "called_off",
	NotSent: "withheld", QueueFull: "crowded", ShardMoved: "moved", UnknownShardMap: "ahead",
	UnknownCoverage: "unversioned", DuplicateCoverage: "doubled", PartialCoverage: "pieced", BodyEvicted: "unkept",
}

// Count is the number of ways to end.
const Count = len(names)

// String is the word for the log.
func (e Outcome) String() string {
	if int(e) < len(names) {
		return names[e]
	}
	return fmt.Sprintf("end(%d)", uint8(e))
}

// RoutingCode is the module's outcome for an end. What the module may take as proof
// that nothing ran must hold: an end after the last byte is never one of those.
func (e Outcome) RoutingCode() routing.Code {
	switch e {
	case Success:
		return routing.OK
	case ServerError, UnknownCoverage, DuplicateCoverage:
		return routing.ServerError
	case Rejected, UnknownShardMap:
		return routing.Overloaded // one that names a version of its own is left alone for a while
	case ShardMoved, PartialCoverage:
		return routing.ShardMoved
	case DialRefused, DialTimeout, DialFailed, WriteInterrupted, QueueFull:
		return routing.ConnectFailed
	case Timeout:
		return routing.TimedOut
	case Canceled:
		return routing.Canceled
	case NotSent, BodyEvicted:
		return routing.NotSent
	default: // Broken, Closed, Garbled, Rejected
		return routing.ConnReset
	}
}

// FromDialError tells how an attempt to connect ended.
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

// FromReadError tells how a connection ended whose next message could not be read:
// clean is true where the stream ended between two messages.
func FromReadError(err error, clean bool) Outcome {
	var op *net.OpError
	switch {
	case clean, errors.Is(err, net.ErrClosed): // the latter: on this side
		return ConnClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &op),
		errors.Is(err, io.ErrUnexpectedEOF): // cut inside a message
		return ConnReset
	}
	return MalformedResponse
}
