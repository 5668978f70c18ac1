package cli

import (
	"errors"
	"fmt"

	"linkpass/internal/adminapi"
)

// The exit codes of a command line. docs/cli.md lists them.
const (
	ExitDone        = 0
	ExitFailed      = 1 // the command failed, or the coordinator rejected it
	ExitUsage       = 2 // the command line is wrong
	ExitUnreachable = 3 // no coordinator answers
	ExitTimedOut    = 4 // the condition of --wait did not hold within --timeout
)

// errTimedOut means that the condition of a wait did not hold within the timeout.
var errTimedOut = errors.New("timed out")

// finish prints an error and returns the exit code for it. A nil error gives ExitDone, and so does any error once the
// reader of the output has closed it; then nothing is printed.
func (e *env) finish(err error) int {
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
