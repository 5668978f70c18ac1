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

// Guards against running a request twice that is not idempotent: the router retries it if the code says that nothing
// ran.
func TestRoutingCodeSaysNothingRanOnlyWhenTrue(t *testing.T) {
	nothingRan := map[routing.Code]bool{routing.Overloaded: true, routing.ConnectFailed: true, routing.NotSent: true}
	mayHaveRun := []Outcome{Success, ServerError, ConnReset, ConnClosed, MalformedResponse, BadRequest, Timeout, Canceled}
	for _, o := range mayHaveRun {
		if nothingRan[o.RoutingCode()] {
			t.Errorf("%s may have run, but its code %v says that nothing ran", o, o.RoutingCode())
		}
	}
	for _, o := range []Outcome{Rejected, DialRefused, DialTimeout, DialFailed, WriteInterrupted, NotSent, QueueFull} {
		if !nothingRan[o.RoutingCode()] {
			t.Errorf("%s cannot have run, but its code %v does not say so", o, o.RoutingCode())
		}
	}
	for o := range Count {
		if s := Outcome(o).String(); s == "" || strings.Contains(s, "(") {
			t.Errorf("String() of outcome %d = %q, want a name", o, s)
		}
	}
}

func TestOutcomeFromError(t *testing.T) {
	op := func(err error) error { return &net.OpError{Op: "read", Err: err} }
	for _, c := range []struct {
		err             error
		betweenMessages bool
		want            Outcome
	}{
		{io.EOF, true, ConnClosed}, {op(net.ErrClosed), false, ConnClosed}, {io.ErrUnexpectedEOF, false, ConnReset},
		{op(syscall.ECONNRESET), false, ConnReset}, {errors.New("odd"), false, MalformedResponse},
	} {
		if got := FromReadError(c.err, c.betweenMessages); got != c.want {
			t.Errorf("FromReadError(%v, %t) = %s, want %s", c.err, c.betweenMessages, got, c.want)
		}
	}
	for err, want := range map[error]Outcome{op(syscall.ECONNREFUSED): DialRefused,
		op(context.DeadlineExceeded): DialTimeout, errors.New("odd"): DialFailed} {
		if got := FromDialError(err); got != want {
			t.Errorf("FromDialError(%v) = %s, want %s", err, got, want)
		}
	}
}
