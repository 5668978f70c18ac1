package cli

import (
	"errors"
	"fmt"

	"linkpass/internal/adminapi"
)

// Exit codes; docs/cli.md lists them.
const (
	ExitDone        = 0
	ExitFailed      = 1 // or rejected by the coordinator
	ExitMisused     = 2 // the command line is wrong
	ExitUnreachable = 3 // no coordinator answers
	ExitTimedOut    = 4 // the condition of --wait did not come to hold
)

// errTimedOut is the error of a wait whose condition did not hold within the timeout.
var errTimedOut = errors.New("timed out")

// fail prints an error, unless it is nil or the reader of the output has closed it, and returns the exit code.
func (e *env) fail(err error) int {
	if err == nil || e.out.closed {
		return ExitDone
	}
	fmt.Fprintln(e.err, "linkpass:", err)
	switch {
	case errors.Is(err, adminapi.ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, errTimedOut):
		return ExitTimedOut
	}
	return ExitFailed
}
