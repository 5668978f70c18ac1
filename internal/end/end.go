// Package end names every way in which an attempt, a probe or the connection
// under it can end, and maps each to the module's outcome.
package end

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"linkpass/internal/routing"
)

// End is one way to end. Nothing else in the program says how a connection
// went.
type End uint8

// The ways to end.
const (
	Served      End = iota // the server answered in full
	ServerError            // the server answered that it failed
	TurnedAway             // the server turned the work away unseen
	DialRefused            // the connection was refused
	DialTimeout            // the connection never came up
	DialFailed             // no connection could be made for another reason
	CutInWrite             // the connection broke before the last byte was written
	Broken                 // the connection was reset while work was out
	Closed                 // the connection was closed in good order while work was out
	Garbled                // what came could not be read, so the connection was closed
	Rejected               // the server said that it could not use what it got
	Silent                 // nothing came in time
	CalledOff              // the module gave the attempt up
	Withheld               // never written: the query was over or the server unfit
	Crowded                // never written: the way to the server was full
	Moved                  // the slice is not there any more; nothing has run
	Ahead                  // the same, by a layout that nobody else knows of
	Unversioned            // the server does not tell which keys its answer covers
	Doubled                // the answer covers keys that are in already, or that nobody asked for
	Pieced                 // the server answered a piece of what was asked for
	Unkept                 // never written whole: the body is not kept any more
)

var names = [...]string{
	Served: "served", ServerError: "server_error", TurnedAway: "turned_away",
	DialRefused: "dial_refused", DialTimeout: "dial_timeout", DialFailed: "dial_failed",
	CutInWrite: "cut_in_write", Broken: "broken", Closed: "closed", Garbled: "garbled",
	Rejected: "rejected", Silent: "silent", CalledOff: "called_off",
	Withheld: "withheld", Crowded: "crowded", Moved: "moved", Ahead: "ahead",
	Unversioned: "unversioned", Doubled: "doubled", Pieced: "pieced", Unkept: "unkept",
}

// Count is the number of ways to end.
const Count = len(names)

// String is the word for the log.
func (e End) String() string {
	if int(e) < len(names) {
		return names[e]
	}
	return fmt.Sprintf("end(%d)", uint8(e))
}

// Code is the module's outcome for an end. What the module may take as proof
// that nothing ran must hold: an end after the last byte is never one of those.
func (e End) Code() routing.Code {
	switch e {
	case Served:
		return routing.OK
	case ServerError, Unversioned, Doubled:
		return routing.ServerError
	case TurnedAway, Ahead:
		return routing.Overloaded // one that names a version of its own is left alone for a while
	case Moved, Pieced:
		return routing.ShardMoved
	case DialRefused, DialTimeout, DialFailed, CutInWrite, Crowded:
		return routing.ConnectFailed
	case Silent:
		return routing.TimedOut
	case CalledOff:
		return routing.Canceled
	case Withheld, Unkept:
		return routing.NotSent
	default: // Broken, Closed, Garbled, Rejected
		return routing.ConnReset
	}
}

// OfDial tells how an attempt to connect ended.
func OfDial(err error) End {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return DialTimeout
	}
	return DialFailed
}

// OfRead tells how a connection ended whose next message could not be read:
// clean is true where the stream ended between two messages.
func OfRead(err error, clean bool) End {
	var op *net.OpError
	switch {
	case clean, errors.Is(err, net.ErrClosed): // the latter: on this side
		return Closed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &op),
		errors.Is(err, io.ErrUnexpectedEOF): // cut inside a message
		return Broken
	}
	return Garbled
}
