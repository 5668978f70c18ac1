package end

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
	mayHaveRun := []End{Served, ServerError, Broken, Closed, Garbled, Rejected, Silent, CalledOff}
	for _, e := range mayHaveRun {
		if never[e.Code()] {
			t.Errorf("%s counts as proof", e)
		}
	}
	for _, e := range []End{TurnedAway, DialRefused, DialTimeout, DialFailed, CutInWrite, Withheld, Crowded} {
		if !never[e.Code()] {
			t.Errorf("%s is no proof", e)
		}
	}
	for e := range Count {
		if s := End(e).String(); s == "" || strings.Contains(s, "(") {
			t.Errorf("end %d has no name", e)
		}
	}
}

func TestErrorsBecomeEnds(t *testing.T) {
	op := func(err error) error { return &net.OpError{Op: "read", Err: err} }
	for _, c := range []struct {
		err   error
		clean bool
		want  End
	}{
		{io.EOF, true, Closed}, {op(net.ErrClosed), false, Closed}, {io.ErrUnexpectedEOF, false, Broken},
		{op(syscall.ECONNRESET), false, Broken}, {errors.New("odd"), false, Garbled},
	} {
		if got := OfRead(c.err, c.clean); got != c.want {
			t.Errorf("read %v: %s, want %s", c.err, got, c.want)
		}
	}
	for err, want := range map[error]End{op(syscall.ECONNREFUSED): DialRefused,
		op(context.DeadlineExceeded): DialTimeout, errors.New("odd"): DialFailed} {
		if got := OfDial(err); got != want {
			t.Errorf("dial %v: %s, want %s", err, got, want)
		}
	}
}
