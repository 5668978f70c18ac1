package upstream_test

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/metrics"
	"linkpass/internal/outcome"
	"linkpass/internal/routing"
	"linkpass/internal/upstream"
)

// stage is a sink whose events the test puts in order: it can hold up the actor and the dials.
type stage struct {
	now     atomic.Int64
	ended   chan coordinator.Result // without room: whoever tells waits for the test
	telling atomic.Int64            // how many do
	late    chan struct{}           // nil: the first dial goes on at once; otherwise it waits for a word
	dialed  atomic.Bool
}

func (s *stage) Now() time.Duration { return time.Duration(s.now.Load()) }
func (s *stage) Arm(time.Duration, func()) func() {
	if s.late != nil && s.dialed.CompareAndSwap(false, true) {
		<-s.late
	}
	return func() {}
}
func (s *stage) AttemptEnded(_ coordinator.AttemptID, r coordinator.Result) {
	s.telling.Add(1)
	s.ended <- r
	s.telling.Add(-1)
}
func (*stage) HealthCheckEnded(uint64, coordinator.Result) {}
func (*stage) BodySent(coordinator.AttemptID)              {}

const (
	dialTime = 250 * time.Millisecond
	patience = 10 * time.Second // with what is bound to come
)

func listenTCP(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func play(t *testing.T, s *stage) (p *upstream.Client, ln net.Listener) {
	return playAs(t, s, frame.Codec{MaxStreams: 2})
}

func playAs(t *testing.T, s *stage, d upstream.Codec) (p *upstream.Client, ln net.Listener) {
	ln = listenTCP(t)
	s.ended = make(chan coordinator.Result)
	p = upstream.New(upstream.Config{Sink: s, Counters: metrics.NewCounters(), Totals: metrics.NewTotals(nil), ConnectTimeout: dialTime},
		d, "s-1", ln.Addr().String())
	p.SetAcceptsWork(true)
	t.Cleanup(func() {
		ln.Close()
		p.Close()
		go func() {
			for range s.ended {
			}
		}()
		p.Wait()
		close(s.ended)
	})
	return p, ln
}

func part(query string, no int) []coordinator.Attempt {
	return []coordinator.Attempt{{ID: coordinator.AttemptID{Part: 1, No: no}, Query: query, Payload: []byte("x"), Deadline: time.Hour}}
}

func accept(t *testing.T, ln net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc, bufio.NewReader(nc)
}

// next is the query whose part comes next on a connection.
func next(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	_, rest, err := frame.Read(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(rest[:1])
}

func want(t *testing.T, s *stage, e outcome.Outcome) {
	t.Helper()
	select {
	case r := <-s.ended:
		if r.Outcome != e {
			t.Fatalf("ended as %s, want %s", r.Outcome, e)
		}
	case <-time.After(patience):
		t.Fatalf("never ended; want %s", e)
	}
}

// Crossing: a server closes a connection while a call for it waits already. What is known of the
// connection goes first, so the part goes out on another; it used to be written there and lost.
func TestACallThatWaitsBehindTheEndOfItsConnection(t *testing.T) {
	s := &stage{}
	p, ln := play(t, s)
	p.Send(part("a", 0))
	first, r := accept(t, ln)
	next(t, r)
	_, _ = first.Write(frame.Append(nil, frame.Answer, []byte("a.0 200 1 -\nv")))
	want(t, s, outcome.Success)
	late := part("l", 1)
	late[0].Deadline = 0
	for s.telling.Load() > 0 { // of the end of the first
		time.Sleep(time.Millisecond)
	}
	p.Send(late)
	for s.telling.Load() == 0 { // the actor waits for the test to hear of its end
		time.Sleep(time.Millisecond)
	}
	p.Send(part("b", 2))
	_ = first.Close()
	for p.PendingConnEvents() == 0 {
		time.Sleep(time.Millisecond)
	}
	want(t, s, outcome.NotSent)
	second, r := accept(t, ln)
	if got := next(t, r); got != "b" {
		t.Errorf("%q came", got)
	}
	_, _ = second.Write(frame.Append(nil, frame.Answer, []byte("b.0 200 1 -\nv")))
	want(t, s, outcome.Success)
}

// Crossing: a connection comes up after the time until which what may have run may be repeated, or after
// the server began to drain. Nothing of it is written, and the attempt is said never to have run.
func TestAConnectionThatComesUpLate(t *testing.T) {
	for _, drains := range []bool{false, true} {
		s := &stage{late: make(chan struct{})}
		p, ln := play(t, s)
		list := part("a", 1)
		list[0].WriteBefore = 100 * time.Millisecond
		p.Send(list)
		if drains {
			p.SetAcceptsWork(false)
		} else {
			s.now.Store(int64(100 * time.Millisecond))
		}
		s.late <- struct{}{}
		_, r := accept(t, ln)
		want(t, s, outcome.NotSent)
		s.now.Store(0)
		p.SetAcceptsWork(true)
		p.Send(part("b", 2))
		if got := next(t, r); got != "b" {
			t.Errorf("%q came", got)
		}
	}
}

// Small writes are not held back: a reset would take them along.
func TestSmallWritesAreNotHeldBack(t *testing.T) {
	s := &stage{}
	p, ln := play(t, s)
	p.Send(part("a", 0))
	_, r := accept(t, ln)
	next(t, r)
	raw, err := p.FirstConn().(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	on := 0
	_ = raw.Control(func(fd uintptr) { on, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	if on != 1 {
		t.Error("TCP_NODELAY is off")
	}
}

// deaf is a dialect whose reader hears nothing until it may.
type deaf struct {
	frame.Codec
	may chan struct{}
}

func (d deaf) NewReader(r io.Reader) upstream.Reader { return deafReader{d.Codec.NewReader(r), d.may} }

type deafReader struct {
	upstream.Reader
	may chan struct{}
}

func (r deafReader) Wait() error { <-r.may; return r.Reader.Wait() }

// Crossing: a connection is reset between two writes, and the second begins before that is heard. What was out may
// have run; what was being written never did, and only that may be sent again where nothing may be repeated.
func TestAResetBetweenTwoWrites(t *testing.T) {
	s := &stage{}
	may := make(chan struct{})
	p, ln := playAs(t, s, deaf{frame.Codec{MaxStreams: 2}, may})
	p.Send(part("a", 0))
	nc, r := accept(t, ln)
	next(t, r)
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
	raw, err := p.FirstConn().(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for reset := false; !reset; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			reset = err != syscall.EAGAIN
		})
	}
	p.Send(part("b", 1))
	want(t, s, outcome.ConnReset)
	want(t, s, outcome.WriteInterrupted)
	if outcome.WriteInterrupted.RoutingCode() != routing.ConnectFailed || outcome.ConnReset.RoutingCode() != routing.ConnReset {
		t.Error("the module is told otherwise")
	}
	close(may)
}
