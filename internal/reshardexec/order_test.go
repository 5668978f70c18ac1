package reshardexec

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/goldentest"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/shardmap/resharding"
	"linkpass/internal/store"
)

func TestOrderComparesTermFirst(t *testing.T) {
	ascending := []Order{{}, {Term: 1, Revision: 9}, {Term: 2}, {Term: 2, Revision: 1}, {Term: 10}}
	for i, a := range ascending {
		for j, b := range ascending {
			if got := a.Compare(b); (got < 0) != (i < j) || (got > 0) != (i > j) {
				t.Errorf("%+v compared with %+v = %d", a, b, got)
			}
		}
	}
}

// heldLease returns a lease that does not end during a test.
func heldLease() *lease {
	return newLease(store.LeaderState{LeaseEnd: time.Now().Add(time.Hour)}, nil)
}

// A refusal of the order is counted each time, logged once with the accepted order, and makes the server unhealthy.
func TestRefusedOrderIsCountedAndLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	eventlog.SetOutput(&log, false)
	defer eventlog.SetOutput(os.Stderr, false)
	body := goldentest.Read(t, "refusal.json")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		netConn, err := ln.Accept()
		for ; err == nil; netConn, err = ln.Accept() {
			if _, err := http1.NewReader(netConn, 1<<20).Request(); err == nil {
				_ = http1.WriteResponse(netConn, &http1.Response{Status: StatusStaleOrder, Body: body})
			}
			_ = netConn.Close()
		}
	}()
	counters := metrics.NewCounters()
	e := New(Config{Timeout: 10 * time.Second, Counters: counters})
	e.poller.resetReports()
	endpoints := map[string]coordinator.Endpoint{"s-1": {Name: "s-1", Addr: ln.Addr().String()}}
	const polls = 3
	for range polls {
		e.poller.pollAll(t.Context(), endpoints, heldLease(), Order{Term: 1}, map[string][]resharding.Assignment{})
	}
	if got := counters.Get("resharding_orders_refused"); got != polls || !e.poller.failing["s-1"] {
		t.Errorf("resharding_orders_refused = %d, failing = %t; want %d, true", got, e.poller.failing["s-1"], polls)
	}
	if got := strings.Count(log.String(), "event=assignment_refused server=s-1 accepted_term=456789012345678"); got != 1 {
		t.Errorf("the refusal was logged %d times, want once: %s", got, log.String())
	}
	var stale *StaleOrderError
	_, _, err = e.poller.poll(t.Context(), heldLease(), nil, ln.Addr().String(), AssignmentRequest{})
	if !errors.As(err, &stale) || stale.Accepted != goldenOrder {
		t.Errorf("error = %v, want a StaleOrderError with %+v", err, goldenOrder)
	}
}
