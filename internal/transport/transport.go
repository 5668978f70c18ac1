// Package transport holds the way to each listed server: which protocol it speaks,
// and the carrier that speaks it.
package transport

import (
	"slices"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/routing"
)

// Transport is the actor that speaks with one server.
type Transport interface {
	Send([]coordinator.Attempt) bool
	Cancel(coordinator.AttemptID)
	CheckHealth(number uint64) bool
	AbandonHealthCheck(number uint64)
	SetAcceptsWork(bool)           // whether the list wants new work sent
	ServerRestarted(time.Duration) // the server's process began anew then
	Drain()                        // no new work; ends once nothing is out
	Close()
	Stopped() bool
	Wait()
}

// Constructor starts the carrier of a server.
type Constructor func(name, addr string) Transport

// Protocols tells how each protocol is spoken, and which one a server speaks.
type Protocols struct {
	Constructors map[string]Constructor
	ForServer    func(server string) string
}

// Set is every server's link. All calls come from the core's goroutine, and
// Close after that has ended.
type Set struct {
	protocols Protocols
	members   map[routing.ServerID]*member
	retired   []Transport
}

type member struct {
	coordinator.Endpoint
	protocol string
	carrier  Transport
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
		s.updateEndpoint(m)
	}
	if l.Mode == routing.UpdateDelta {
		return
	}
	for id, m := range s.members {
		if !named[id] {
			s.removeEndpoint(id, m)
		}
	}
}

func (s *Set) updateEndpoint(m coordinator.Endpoint) {
	old := s.members[m.Server]
	if m.State == routing.Removed {
		if old != nil {
			s.removeEndpoint(m.Server, old)
		}
		return
	}
	if old == nil {
		old = &member{}
		s.members[m.Server] = old
	}
	if old.carrier != nil && old.Addr != m.Addr {
		s.drain(old)
	}
	if old.carrier != nil && m.StartedAt > old.StartedAt {
		old.carrier.ServerRestarted(m.StartedAt)
	}
	old.Endpoint = m
	s.selectProtocol(old)
	old.carrier.SetAcceptsWork(m.State == routing.Ready)
}

// selectProtocol sees to it that a member's carrier speaks the server's protocol of the
// day: later parts go out in the new one, what is out ends in the old.
func (s *Set) selectProtocol(m *member) {
	protocol := s.protocols.ForServer(m.Name)
	if m.carrier != nil && m.protocol != protocol {
		eventlog.ProtocolChanged.Log(m.Name, m.protocol, protocol)
		s.drain(m)
	}
	if m.carrier == nil {
		m.protocol, m.carrier = protocol, s.protocols.Constructors[protocol](m.Name, m.Addr)
		m.carrier.SetAcceptsWork(m.State == routing.Ready)
	}
}

func (s *Set) drain(m *member) {
	m.carrier.Drain()
	s.retired = slices.DeleteFunc(s.retired, Transport.Stopped)
	s.retired = append(s.retired, m.carrier)
	m.carrier = nil
}

func (s *Set) removeEndpoint(id routing.ServerID, m *member) {
	s.drain(m)
	delete(s.members, id)
}

// Send hands on one call.
func (s *Set) Send(id routing.ServerID, list []coordinator.Attempt) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	s.selectProtocol(m)
	return m.carrier.Send(list)
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

// CheckHealth asks a server for a sign of life.
func (s *Set) CheckHealth(id routing.ServerID, number uint64) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	s.selectProtocol(m)
	return m.carrier.CheckHealth(number)
}

// AbandonHealthCheck says that a probe is no longer awaited.
func (s *Set) AbandonHealthCheck(id routing.ServerID, number uint64) {
	if m := s.members[id]; m != nil {
		m.carrier.AbandonHealthCheck(number)
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
