package transport

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
)

// fakeTransport records the calls of its methods.
type fakeTransport struct {
	name    string
	calls   *[]string
	stopped bool
}

func (f *fakeTransport) record(format string, args ...any) {
	*f.calls = append(*f.calls, f.name+" "+fmt.Sprintf(format, args...))
}
func (f *fakeTransport) Send(attempts []coordinator.Attempt) bool {
	f.record("send %d", len(attempts))
	return true
}
func (f *fakeTransport) Cancel(id coordinator.AttemptID)     { f.record("cancel %d", id.No) }
func (f *fakeTransport) CheckHealth(n uint64) bool           { f.record("check %d", n); return true }
func (f *fakeTransport) AbandonHealthCheck(n uint64)         { f.record("abandon %d", n) }
func (f *fakeTransport) SetAcceptsWork(accepts bool)         { f.record("accepts %t", accepts) }
func (f *fakeTransport) ServerRestarted(since time.Duration) { f.record("restarted %d", since) }
func (f *fakeTransport) Drain()                              { f.record("drain") }
func (f *fakeTransport) Close()                              { f.record("close") }
func (f *fakeTransport) Stopped() bool                       { return f.stopped }
func (*fakeTransport) Wait()                                 {}

// setFixture is a Set whose transports record their calls as "protocol@address call".
type setFixture struct {
	*Set
	protocol string // the protocol that the server speaks
	calls    []string
}

func newSetFixture() *setFixture {
	f := &setFixture{protocol: "search"}
	constructor := func(protocol string) Constructor {
		return func(_, addr string) Transport {
			return &fakeTransport{name: protocol + "@" + addr, calls: &f.calls}
		}
	}
	f.Set = NewSet(Protocols{
		Constructors: map[string]Constructor{"plain": constructor("plain"), "search": constructor("search")},
		ForServer:    func(string) string { return f.protocol },
	})
	return f
}

// updateServer updates the endpoint of the only server.
func (f *setFixture) updateServer(mode routing.UpdateMode, addr string, state routing.EndpointState, startedAt time.Duration) {
	f.UpdateEndpoints(coordinator.EndpointUpdate{Mode: mode, Endpoints: []coordinator.Endpoint{{
		Name:     "s",
		Addr:     addr,
		Endpoint: routing.Endpoint{Server: 1, State: state, StartedAt: startedAt},
	}}})
}

// checkCalls checks the calls recorded since the previous check.
func (f *setFixture) checkCalls(t *testing.T, step string, want ...string) {
	t.Helper()
	if !slices.Equal(f.calls, want) {
		t.Errorf("%s: calls %q, want %q", step, f.calls, want)
	}
	f.calls = nil
}

func TestSetFollowsEndpointsAndProtocol(t *testing.T) {
	f := newSetFixture()
	request := []coordinator.Attempt{{}}

	if f.Send(1, request) || f.CheckHealth(1, 5) {
		t.Error("Send or CheckHealth accepted work for a server that was never listed")
	}
	f.updateServer(routing.UpdateFull, "a", routing.Ready, 0)
	f.calls = nil
	f.Send(1, request)
	f.checkCalls(t, "send", "search@a send 1")
	f.protocol = "plain"
	f.Send(1, request)
	f.checkCalls(t, "protocol changed", "search@a drain", "plain@a accepts true", "plain@a send 1")
	f.Cancel(1, coordinator.AttemptID{No: 2})
	f.checkCalls(t, "cancel on either transport", "plain@a cancel 2", "search@a cancel 2")
	f.updateServer(routing.UpdateDelta, "a", routing.Draining, 0)
	f.checkCalls(t, "draining", "plain@a accepts false")
	f.updateServer(routing.UpdateDelta, "a", routing.Ready, 7)
	f.checkCalls(t, "restarted", "plain@a restarted 7", "plain@a accepts true")
	f.updateServer(routing.UpdateDelta, "b", routing.Ready, 7)
	if !slices.Contains(f.calls, "plain@a drain") || f.calls[len(f.calls)-1] != "plain@b accepts true" {
		t.Errorf("address changed: calls %q, want \"plain@a drain\" and, last, \"plain@b accepts true\"", f.calls)
	}
	f.calls = nil
	f.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull})
	f.checkCalls(t, "full list without it", "plain@b drain")
	if f.Send(1, request) {
		t.Error("Send accepted work for a server that was removed")
	}
	f.Close()
}
