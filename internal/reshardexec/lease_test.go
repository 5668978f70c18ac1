package reshardexec

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/shardmap/resharding"
	"linkpass/internal/store"
)

// A lease that has ended is renewed by a quorum, in the same term only.
func TestLeaseIsRenewedInItsTermOnly(t *testing.T) {
	start := time.Date(2026, 12, 4, 13, 0, 0, 0, time.UTC)
	const duration = time.Second
	for _, c := range []struct {
		name      string
		after     time.Duration
		confirmed store.LeaderState
		err       error
		confirms  int
		lost      bool
	}{
		{"within the lease", duration - 1, store.LeaderState{}, nil, 0, false},
		{"renewed", duration, store.LeaderState{Term: 5, LeaseEnd: start.Add(3 * duration)}, nil, 1, false},
		{"another term", duration, store.LeaderState{Term: 6, LeaseEnd: start.Add(3 * duration)}, nil, 2, true},
		{"no quorum", duration, store.LeaderState{}, store.ErrNoQuorum, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			confirms := 0
			l := newLease(store.LeaderState{Term: 5, LeaseEnd: start.Add(duration)},
				func(context.Context) (store.LeaderState, error) {
					confirms++
					return c.confirmed, c.err
				})
			l.now = func() time.Time { return start.Add(c.after) }
			for range 2 {
				if err := l.check(t.Context()); errors.Is(err, errLeadershipLost) != c.lost {
					t.Errorf("error = %v, want one for lost leadership: %t", err, c.lost)
				}
			}
			if confirms != c.confirms {
				t.Errorf("%d confirmations, want %d", confirms, c.confirms)
			}
		})
	}
}

// Guards against a stale leader's assignment: after the lease has ended, nothing is sent without a new confirmation, and
// the server does not count as failing.
func TestNothingIsSentAfterLostLease(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan error, 1)
	go func() {
		netConn, err := ln.Accept()
		if err != nil {
			requests <- err
			return
		}
		defer netConn.Close()
		_, err = http1.NewReader(netConn, 1<<20).Request()
		requests <- err
	}()
	counters := metrics.NewCounters()
	e := New(Config{Timeout: 10 * time.Second, Counters: counters})
	e.poller.resetReports()
	ended := newLease(store.LeaderState{Term: 1}, func(context.Context) (store.LeaderState, error) {
		return store.LeaderState{}, store.ErrNoLeader
	})
	endpoints := map[string]coordinator.Endpoint{"s-1": {Name: "s-1", Addr: ln.Addr().String()}}
	e.poller.pollAll(t.Context(), endpoints, ended, Order{Term: 1}, map[string][]resharding.Assignment{})
	_ = ln.Close()
	e.poller.closeConns()
	if err := <-requests; err == nil {
		t.Error("the server received a request after the lease was lost")
	}
	if got := counters.Get("resharding_polls_withheld"); got != 1 || e.poller.failing["s-1"] {
		t.Errorf("resharding_polls_withheld = %d, failing = %t; want 1, false", got, e.poller.failing["s-1"])
	}
}
