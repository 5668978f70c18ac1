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

// The module repeats unsafe work on proof that nothing ran: an end after the
// last byte was written must never give that proof.
func TestEndsGiveNoFalseProof(t *testing.T) {
	never := map[routing.Code]bool{routing.Overloaded: true, routing.ConnectFailed: true, routing.NotSent: true}
	mayHaveRun := []Outcome{Success, ServerError, ConnReset, ConnClosed, MalformedResponse, BadRequest, Timeout, Canceled}
	for _, e := range mayHaveRun {
		if never[e.RoutingCode()] {
			t.Errorf("%s counts as proof", e)
		}
	}
	for _, e := range []Outcome{Rejected, DialRefused, DialTimeout, DialFailed, WriteInterrupted, NotSent, QueueFull} {
		if !never[e.RoutingCode()] {
			t.Errorf("%s is no proof", e)
		}
	}
	for e := range Count {
		if s := Outcome(e).String(); s == "" || strings.Contains(s, "(") {
			t.Errorf("end %d has no name", e)
		}
	}
}

func TestErrorsBecomeEnds(t *testing.T) {
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
