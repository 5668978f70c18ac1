package outcome

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"linkpass/internal/routing"
)

// The router retries what is not idempotent if the code says that nothing ran.
func TestRoutingCodeSaysNothingRanOnlyWhenTrue(t *testing.T) {
	nothingRan := map[routing.Code]bool{routing.Overloaded: true, routing.ConnectFailed: true, routing.NotSent: true}
	mayHaveRun := []Outcome{Success, ServerError, ConnReset, ConnClosed, MalformedResponse, BadRequest, Timeout, Canceled}
	for _, o := range mayHaveRun {
		if nothingRan[o.RoutingCode()] {
			t.Errorf("%s may have run, and its code says that nothing ran", o)
		}
	}
	for _, o := range []Outcome{Rejected, DialRefused, DialTimeout, DialFailed, WriteInterrupted, NotSent, QueueFull} {
		if !nothingRan[o.RoutingCode()] {
			t.Errorf("%s cannot have run, and its code does not say so", o)
		}
	}
	for o := range Count {
		if s := Outcome(o).String(); s == "" || strings.Contains(s, "(") {
			t.Errorf("outcome %d has no name", o)
		}
	}
}

func TestOutcomeFromError(t *testing.T) {
	op := func(err error) error { return &net.OpError{Op: "read", Err: err} }
	for _, c := range []struct {
		err   error
		clean bool
		want  Outcome
	}{
		{io.EOF, true, ConnClosed}, {op(net.ErrClosed), false, ConnClosed}, {io.ErrUnexpectedEOF, false, ConnReset},
		{op(syscall.ECONNRESET), false, ConnReset}, {errors.New("odd"), false, MalformedResponse},
	} {
		if got := FromReadError(c.err, c.clean); got != c.want {
			t.Errorf("read %v: %s, want %s", c.err, got, c.want)
		}
	}
	for err, want := range map[error]Outcome{op(syscall.ECONNREFUSED): DialRefused,
		op(context.DeadlineExceeded): DialTimeout, errors.New("odd"): DialFailed} {
		if got := FromDialError(err); got != want {
			t.Errorf("dial %v: %s, want %s", err, got, want)
		}
	}
}
