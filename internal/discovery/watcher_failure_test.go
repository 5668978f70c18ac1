package discovery

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/routing"
)

// While discovery is down, each failure is counted and only the first is logged.
func TestWatchLogsOutageOnce(t *testing.T) {
	var lines bytes.Buffer
	eventlog.SetOutput(&lines, false)
	defer eventlog.SetOutput(os.Stderr, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	attempts := make(chan struct{})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Close()
			select {
			case attempts <- struct{}{}:
			case <-t.Context().Done():
			}
		}
	}()
	w := newTestWatcher(ln.Addr().String(), newFakeCore())
	stop := runWatcher(t, w, EndpointList{})
	for range 4 {
		<-attempts
	}
	stop()
	ln.Close()
	if n := strings.Count(lines.String(), "event=discovery_failed"); n != 1 || w.Counters.Get("discovery_failed") < 2 {
		t.Errorf("%d log lines of discovery_failed, want 1; counters %s, want discovery_failed >= 2", n, w.Counters)
	}
}

// A call on a silent connection times out and the complete list is requested, instead of the silence being taken for a
// list without changes.
func TestWatchTimesOutWhenSilent(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCoreWithDeadlines()
	w := newTestWatcher(startTestAgent(t, targets, answers), core)
	stop := runWatcher(t, w, cachedAtVersion9)
	<-core.updates
	<-core.armed                          // the startup timeout
	<-core.armed                          // the dial
	for _, wait := range []int{0, 1000} { // a new watch may wait in the service's queue
		if first := <-core.armed; first.at < time.Duration(wait)*time.Millisecond+SharedServiceTimeouts.startSlack {
			t.Errorf("call with a wait of %d ms times out after %v, want at least %v",
				wait, first.at, time.Duration(wait)*time.Millisecond+SharedServiceTimeouts.startSlack)
		}
		if got := <-targets; got != fmt.Sprint("/registry/instances?after=9&wait_ms=", wait) {
			t.Errorf("request target = %q, want after=9 and wait_ms=%d", got, wait)
		}
		answers <- `{"version":9,"full":false,"servers":[]}`
	}
	watch := <-core.armed
	if got := <-targets; !strings.HasPrefix(got, "/registry/instances?after=9&") || watch.at > 2*time.Second {
		t.Fatalf("request target = %q, want after=9; times out after %v, want at most %v", got, watch.at, 2*time.Second)
	}
	watch.fire()
	if got := <-targets; got != "/registry/instances?" {
		t.Errorf("request target after the timeout = %q, want the complete list", got)
	}
	stop()
}

// After a rejection by a status the watcher backs off and resumes from its version. Without that, coordinators that
// discovery rejects would keep it overloaded.
func TestWatchBacksOffAfterRejection(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCore()
	w := newTestWatcher(startTestAgent(t, targets, answers), core)
	stop := runWatcher(t, w, cachedAtVersion9)
	for _, answer := range []string{"503", `{"version":9,"full":false,"servers":[]}`} {
		if got := <-targets; got != "/registry/instances?after=9&wait_ms=0" {
			t.Errorf("request target = %q, want after=9 and wait_ms=0", got)
		}
		answers <- answer
	}
	<-w.Ready()
	stop()
}

// Crossing: changes during a reset, an outage and a change of address are not lost, because the complete list is
// requested.
func TestWatchReopensAfterReset(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	addr, reset := startResettingAgent(t)
	core := newFakeCore()
	w := newTestWatcher(addr, core)
	w.Timeouts = LocalAgentTimeouts(time.Second)
	stop := runWatcher(t, w, cachedAtVersion9)
	<-reset
	for w.Counters.Get("discovery_failed") < 3 { // the first connection is reset, later ones are refused
		time.Sleep(time.Millisecond)
	}
	w.SetAddress(startTestAgent(t, targets, answers))
	if got := <-targets; got != "/registry/instances?" {
		t.Errorf("request target = %q, want the complete list", got)
	}
	answers <- `{"version":12,"full":true,"servers":[` + testEndpointJSON + `]}`
	<-core.updates // the cached list
	if update := <-core.updates; update.Mode != routing.UpdateFull || len(update.Endpoints) != 1 {
		t.Errorf("update = %+v, want a full one with 1 endpoint", update)
	}
	stop()
}

// startResettingAgent starts an agent that resets its first connection after a request and refuses later ones. reset is
// closed once it refuses connections.
func startResettingAgent(t *testing.T) (addr string, reset <-chan struct{}) {
	t.Helper()
	done := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http1.NewReader(conn, 0).Request()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		_ = ln.Close()
		close(done)
	}()
	return ln.Addr().String(), done
}

// Each call to a silent agent times out within the limits of Timeouts, and is retried.
func TestWatchRetriesSilentAgent(t *testing.T) {
	targets, answers := make(chan string), make(chan string)
	defer close(answers)
	core := newFakeCoreWithDeadlines()
	w := newTestWatcher(startTestAgent(t, targets, answers), core)
	w.Timeouts = LocalAgentTimeouts(time.Second)
	stop := runWatcher(t, w, cachedAtVersion9)
	<-core.armed // the startup timeout
	for range 3 {
		dial, call := <-core.armed, <-core.armed
		if dial.at > w.Timeouts.dial || call.at > w.Timeouts.startSlack {
			t.Errorf("dial times out after %v, want at most %v; call after %v, want at most %v",
				dial.at, w.Timeouts.dial, call.at, w.Timeouts.startSlack)
		}
		<-targets
		call.fire()
	}
	<-core.armed
	<-core.armed
	<-targets
	for range 3 { // these responses go to the closed connections and are ignored
		answers <- "503"
	}
	answers <- `{"version":12,"full":true,"servers":[` + testEndpointJSON + `]}`
	<-core.updates // the cached list
	if update := <-core.updates; len(update.Endpoints) != 1 {
		t.Errorf("update = %+v, want 1 endpoint", update)
	}
	stop()
}
