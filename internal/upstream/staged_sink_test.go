package upstream_test

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/frame"
	"linkpass/internal/outcome"
	"linkpass/internal/upstream"
)

// stagedSink is a ResultSink that lets a test control the order of events: it can block the event loop and the first
// dial.
type stagedSink struct {
	now       atomic.Int64
	ended     chan coordinator.Result // unbuffered: the event loop waits for the test
	reporting atomic.Int64            // number of AttemptEnded calls that wait on ended
	firstDial chan struct{}           // nil: the first dial is not blocked; otherwise it waits until it receives
	dialed    atomic.Bool
}

func (s *stagedSink) Now() time.Duration { return time.Duration(s.now.Load()) }
func (s *stagedSink) Arm(time.Duration, func()) func() {
	if s.firstDial != nil && s.dialed.CompareAndSwap(false, true) {
		<-s.firstDial
	}
	return func() {}
}
func (s *stagedSink) AttemptEnded(_ coordinator.AttemptID, r coordinator.Result) {
	s.reporting.Add(1)
	s.ended <- r
	s.reporting.Add(-1)
}
func (*stagedSink) HealthCheckEnded(uint64, coordinator.Result) {}
func (*stagedSink) BodySent(coordinator.AttemptID)              {}

// waitUntilReporting waits until the event loop is blocked on a result that the test has not received (waits is true),
// or is not (false).
func (s *stagedSink) waitUntilReporting(waits bool) {
	for (s.reporting.Load() > 0) != waits {
		time.Sleep(time.Millisecond)
	}
}

func (s *stagedSink) wantEnded(t *testing.T, o outcome.Outcome) {
	t.Helper()
	select {
	case r := <-s.ended:
		if r.Outcome != o {
			t.Fatalf("outcome = %s, want %s", r.Outcome, o)
		}
	case <-time.After(waitLimit):
		t.Fatalf("no attempt ended within %v, want outcome %s", waitLimit, o)
	}
}

// startStaged starts a client and returns it with its server's listener, on which the test accepts connections.
func startStaged(t *testing.T, s *stagedSink, codec upstream.Codec) (*upstream.Client, net.Listener) {
	t.Helper()
	ln := listenTCP(t)
	s.ended = make(chan coordinator.Result)
	client := upstream.New(newConfig(s), codec, "s-1", ln.Addr().String())
	client.SetAcceptsWork(true)
	t.Cleanup(func() {
		ln.Close()
		client.Close()
		go func() {
			for range s.ended {
			}
		}()
		client.Wait()
		close(s.ended)
	})
	return client, ln
}

// wantQuery reads the next request from a connection and checks the first letter of its query's name.
func wantQuery(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	_, content, err := frame.Read(r)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(content[:1]); got != want {
		t.Errorf("first letter of the query's name = %q, want %q", got, want)
	}
}
