package transport

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/routing"
)

// fakeTransport notes what it is told.
type fakeTransport struct {
	name  string
	notes *[]string
	ended bool
}

func (c *fakeTransport) note(format string, args ...any) {
	*c.notes = append(*c.notes, c.name+" "+fmt.Sprintf(format, args...))
}
func (c *fakeTransport) Send(list []coordinator.Attempt) bool {
	c.note("call %d", len(list))
	return true
}
func (c *fakeTransport) Cancel(id coordinator.AttemptID)     { c.note("cancel %d", id.No) }
func (c *fakeTransport) CheckHealth(n uint64) bool           { c.note("probe %d", n); return true }
func (c *fakeTransport) AbandonHealthCheck(n uint64)         { c.note("forget %d", n) }
func (c *fakeTransport) SetAcceptsWork(fit bool)             { c.note("fit %t", fit) }
func (c *fakeTransport) ServerRestarted(since time.Duration) { c.note("restarted %d", since) }
func (c *fakeTransport) Drain()                              { c.note("retire") }
func (c *fakeTransport) Close()                              { c.note("close") }
func (c *fakeTransport) Stopped() bool                       { return c.ended }
func (*fakeTransport) Wait()                                 {}

func TestCarriersFollowTheListAndTheProtocol(t *testing.T) {
	var notes []string
	protocol := "search"
	maker := func(kind string) Constructor {
		return func(name, addr string) Transport { return &fakeTransport{name: kind + "@" + addr, notes: &notes} }
	}
	s := NewSet(Protocols{Constructors: map[string]Constructor{"plain": maker("plain"), "search": maker("search")},
		ForServer: func(string) string { return protocol }})
	list := func(mode routing.UpdateMode, addr string, state routing.EndpointState, since time.Duration) {
		s.UpdateEndpoints(coordinator.EndpointUpdate{Mode: mode, Endpoints: []coordinator.Endpoint{{Name: "s", Addr: addr,
			Endpoint: routing.Endpoint{Server: 1, State: state, StartedAt: since}}}})
	}
	step := func(what string, want ...string) {
		t.Helper()
		if !slices.Equal(notes, want) {
			t.Errorf("%s: %q, want %q", what, notes, want)
		}
		notes = nil
	}
	part := []coordinator.Attempt{{}}

	if s.Send(1, part) || s.CheckHealth(1, 5) {
		t.Error("work for a server that no list has named was taken")
	}
	list(routing.UpdateFull, "a", routing.Ready, 0)
	notes = nil
	s.Send(1, part)
	step("a part", "search@a call 1")
	protocol = "plain" // later parts go out in the new protocol, what is out ends in the old
	s.Send(1, part)
	step("the protocol changes", "search@a retire", "plain@a fit true", "plain@a call 1")
	s.Cancel(1, coordinator.AttemptID{No: 2})
	step("an attempt of either carrier", "plain@a cancel 2", "search@a cancel 2")
	list(routing.UpdateDelta, "a", routing.Draining, 0)
	step("it drains", "plain@a fit false")
	list(routing.UpdateDelta, "a", routing.Ready, 7)
	step("it began anew", "plain@a restarted 7", "plain@a fit true")
	list(routing.UpdateDelta, "b", routing.Ready, 7)
	if !slices.Contains(notes, "plain@a retire") || notes[len(notes)-1] != "plain@b fit true" {
		t.Errorf("it moved: %q", notes)
	}
	notes = nil
	s.UpdateEndpoints(coordinator.EndpointUpdate{Mode: routing.UpdateFull})
	step("a full list without it", "plain@b retire")
	if s.Send(1, part) {
		t.Error("work for a server that is gone was taken")
	}
	s.Close()
}
