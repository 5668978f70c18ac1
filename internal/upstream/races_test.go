package upstream_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"linkpass/internal/frame"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/upstream"
)

var twoStreams = frame.Codec{MaxStreams: 2}

// Race: a server closes a connection while a request waits in the mailbox. Guards against writing the request to the
// closed connection.
func TestSendAfterConnectionEndUsesAnother(t *testing.T) {
	s := &stagedSink{}
	client, ln := startStaged(t, s, twoStreams)
	client.Send(attempt("a", 0, 0))
	first, r := accept(t, ln)
	wantQuery(t, r, "a")
	reply(first, "a.0 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
	late := attempt("l", 0, 1)
	late[0].Deadline = 0
	s.waitUntilReporting(false)
	client.Send(late)
	s.waitUntilReporting(true)
	client.Send(attempt("b", 0, 2))
	_ = first.Close()
	for client.PendingConnEvents() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.wantEnded(t, outcome.NotSent)
	second, r := accept(t, ln)
	wantQuery(t, r, "b")
	reply(second, "b.0 200 1 -\nv")
	s.wantEnded(t, outcome.Success)
}

// Race: a connection opens after the idempotency window has passed, or after the server has begun to drain. The waiting
// attempt must not be written.
func TestLateConnectionWritesNothingExpired(t *testing.T) {
	const window = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		end  func(s *stagedSink, setAcceptsWork func(bool))
	}{
		{"idempotency window passed", func(s *stagedSink, _ func(bool)) { s.now.Store(int64(window)) }},
		{"server draining", func(_ *stagedSink, setAcceptsWork func(bool)) { setAcceptsWork(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &stagedSink{firstDial: make(chan struct{})}
			client, ln := startStaged(t, s, twoStreams)
			attempts := attempt("a", 0, 1)
			attempts[0].WriteBefore = window
			client.Send(attempts)
			c.end(s, client.SetAcceptsWork)
			s.firstDial <- struct{}{}
			_, r := accept(t, ln)
			s.wantEnded(t, outcome.NotSent)
			s.now.Store(0)
			client.SetAcceptsWork(true)
			client.Send(attempt("b", 0, 2))
			wantQuery(t, r, "b")
		})
	}
}

// Guards against small writes that the kernel delays, because a reset would lose them.
func TestConnectionSetsTCPNoDelay(t *testing.T) {
	s := &stagedSink{}
	client, ln := startStaged(t, s, twoStreams)
	client.Send(attempt("a", 0, 0))
	_, r := accept(t, ln)
	wantQuery(t, r, "a")
	raw := rawConn(t, client.FirstConn())
	noDelay := 0
	_ = raw.Control(func(fd uintptr) {
		noDelay, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if noDelay != 1 {
		t.Errorf("TCP_NODELAY = %d, want 1", noDelay)
	}
}

func rawConn(t *testing.T, netConn net.Conn) syscall.RawConn {
	t.Helper()
	raw, err := netConn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// waitReset waits until the kernel has received a reset on a connection.
func waitReset(raw syscall.RawConn) {
	for reset := false; !reset; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			reset = err != syscall.EAGAIN
		})
	}
}

// delayedReadCodec is a codec whose readers block until mayRead is closed.
type delayedReadCodec struct {
	frame.Codec
	mayRead chan struct{}
}

func (c delayedReadCodec) NewReader(r io.Reader) upstream.Reader {
	return delayedReader{c.Codec.NewReader(r), c.mayRead}
}

type delayedReader struct {
	upstream.Reader
	mayRead chan struct{}
}

func (r delayedReader) Wait() error { <-r.mayRead; return r.Reader.Wait() }

// Race: a connection is reset between two writes, and the second write begins before the reset is read. The attempt in
// flight may have run. The attempt being written cannot have run, and only that one may be retried if the work is not
// idempotent.
func TestResetBetweenWritesInterruptsOnlyTheSecond(t *testing.T) {
	s, mayRead := &stagedSink{}, make(chan struct{})
	client, ln := startStaged(t, s, delayedReadCodec{twoStreams, mayRead})
	client.Send(attempt("a", 0, 0))
	netConn, r := accept(t, ln)
	wantQuery(t, r, "a")
	_ = netConn.(*net.TCPConn).SetLinger(0)
	_ = netConn.Close()
	waitReset(rawConn(t, client.FirstConn()))
	client.Send(attempt("b", 0, 1))
	s.wantEnded(t, outcome.ConnReset)
	s.wantEnded(t, outcome.WriteInterrupted)
	if outcome.WriteInterrupted.RoutingCode() != routing.ConnectFailed ||
		outcome.ConnReset.RoutingCode() != routing.ConnReset {
		t.Errorf("routing codes of WriteInterrupted and ConnReset = %v, %v, want %v, %v",
			outcome.WriteInterrupted.RoutingCode(), outcome.ConnReset.RoutingCode(),
			routing.ConnectFailed, routing.ConnReset)
	}
	close(mayRead)
}
