// Package link holds the way to each listed server: which protocol it speaks,
// and the carrier that speaks it.
package link

import (
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/routing"
)

// Carrier is the actor that speaks with one server.
type Carrier interface {
	Call([]coordinator.Attempt) bool
	Cancel(coordinator.AttemptID)
	Probe(number uint64) bool
	Forget(number uint64)
	Fit(bool)                // whether the list wants new work sent
	Restarted(time.Duration) // the server's process began anew then
	Retire()                 // no new work; ends once nothing is out
	Close()
	Ended() bool
	Wait()
}

// Make starts the carrier of a server.
type Make func(name, addr string) Carrier

// Protocols tells how each protocol is spoken, and which one a server speaks.
type Protocols struct {
	Makers map[string]Make
	Of     func(server string) string
}

// Set is every server's link. All calls come from the core's goroutine, and
// Close after that has ended.
type Set struct {
	protocols Protocols
	members   map[routing.ServerID]*member
	retired   []Carrier
}

type member struct {
	coordinator.Endpoint
	protocol string
	carrier  Carrier
}

// NewSet makes an empty set.
func NewSet(p Protocols) *Set {
	return &Set{protocols: p, members: map[routing.ServerID]*member{}}
}

// UpdateEndpoints follows the list of servers.
func (s *Set) UpdateEndpoints(l coordinator.EndpointUpdate) {
	named := map[routing.ServerID]bool{}
	for _, m := range l.Endpoints {
		named[m.Server] = true
		s.follow(m)
	}
	if l.Mode == routing.UpdateDelta {
		return
	}
	for id, m := range s.members {
		if !named[id] {
			s.leave(id, m)
		}
	}
}

func (s *Set) follow(m coordinator.Endpoint) {
	old := s.members[m.Server]
	if m.State == routing.Removed {
		if old != nil {
			s.leave(m.Server, old)
		}
		return
	}
	if old == nil {
		old = &member{}
		s.members[m.Server] = old
	}
	if old.carrier != nil && old.Addr != m.Addr {
		s.retire(old)
	}
	if old.carrier != nil && m.StartedAt > old.StartedAt {
		old.carrier.Restarted(m.StartedAt)
	}
	old.Endpoint = m
	s.speak(old)
	old.carrier.Fit(m.State == routing.Ready)
}

// speak sees to it that a member's carrier speaks the server's protocol of the
// day: later parts go out in the new one, what is out ends in the old.
func (s *Set) speak(m *member) {
	protocol := s.protocols.Of(m.Name)
	if m.carrier != nil && m.protocol != protocol {
		eventlog.ProtocolChanged.Log(m.Name, m.protocol, protocol)
		s.retire(m)
	}
	if m.carrier == nil {
		m.protocol, m.carrier = protocol, s.protocols.Makers[protocol](m.Name, m.Addr)
		m.carrier.Fit(m.State == routing.Ready)
	}
}

func (s *Set) retire(m *member) {
	m.carrier.Retire()
	s.retired = slices.DeleteFunc(s.retired, Carrier.Ended)
	s.retired = append(s.retired, m.carrier)
	m.carrier = nil
}

func (s *Set) leave(id routing.ServerID, m *member) {
	s.retire(m)
	delete(s.members, id)
}

// Call hands on one call.
func (s *Set) Call(id routing.ServerID, list []coordinator.Attempt) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	s.speak(m)
	return m.carrier.Call(list)
}

// Cancel gives an attempt up, whichever carrier has it.
func (s *Set) Cancel(id routing.ServerID, attempt coordinator.AttemptID) {
	if m := s.members[id]; m != nil {
		m.carrier.Cancel(attempt)
	}
	for _, c := range s.retired {
		c.Cancel(attempt)
	}
}

// Probe asks a server for a sign of life.
func (s *Set) Probe(id routing.ServerID, number uint64) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	s.speak(m)
	return m.carrier.Probe(number)
}

// Forget says that a probe is no longer awaited.
func (s *Set) Forget(id routing.ServerID, number uint64) {
	if m := s.members[id]; m != nil {
		m.carrier.Forget(number)
	}
}

// Close ends every carrier and waits for it.
func (s *Set) Close() {
	all := s.retired
	for _, m := range s.members {
		all = append(all, m.carrier)
	}
	for _, c := range all {
		c.Close()
	}
	for _, c := range all {
		c.Wait()
	}
}
