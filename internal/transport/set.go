package transport

import (
	"slices"

	"linkpass/internal/coordinator"
	"linkpass/internal/eventlog"
	"linkpass/internal/routing"
)

// Set holds the transports of all listed servers. Its methods must be called on the core's goroutine, except Close,
// which is called after that goroutine has ended.
type Set struct {
	protocols Protocols
	members   map[routing.ServerID]*member
	draining  []Transport // replaced or removed, and not known to have stopped; attempts may be in flight on them
}

// member is one listed server.
type member struct {
	coordinator.Endpoint
	protocol  string    // the protocol that transport speaks
	transport Transport // nil only while a method of Set runs
}

// NewSet returns an empty set.
func NewSet(p Protocols) *Set {
	return &Set{protocols: p, members: map[routing.ServerID]*member{}}
}

// UpdateEndpoints applies an update of the endpoint list.
func (s *Set) UpdateEndpoints(update coordinator.EndpointUpdate) {
	listed := map[routing.ServerID]bool{}
	for _, e := range update.Endpoints {
		listed[e.Server] = true
		s.updateEndpoint(e)
	}
	if update.Mode == routing.UpdateDelta {
		return
	}
	for id, m := range s.members {
		if !listed[id] {
			s.removeEndpoint(id, m)
		}
	}
}

func (s *Set) updateEndpoint(e coordinator.Endpoint) {
	m := s.members[e.Server]
	if e.State == routing.Removed {
		if m != nil {
			s.removeEndpoint(e.Server, m)
		}
		return
	}
	if m == nil {
		m = &member{}
		s.members[e.Server] = m
	}
	if m.transport != nil && m.Addr != e.Addr {
		s.drain(m)
	}
	if m.transport != nil && e.StartedAt > m.StartedAt {
		m.transport.ServerRestarted(e.StartedAt)
	}
	m.Endpoint = e
	s.selectProtocol(m)
	m.transport.SetAcceptsWork(e.State == routing.Ready)
}

func (s *Set) removeEndpoint(id routing.ServerID, m *member) {
	s.drain(m)
	delete(s.members, id)
}

// selectProtocol makes sure that the member's transport speaks the server's current protocol. After a change, new
// attempts use the new protocol, and those in flight end on the old one.
func (s *Set) selectProtocol(m *member) {
	protocol := s.protocols.ForServer(m.Name)
	if m.transport != nil && m.protocol != protocol {
		eventlog.ProtocolChanged.Log(m.Name, m.protocol, protocol)
		s.drain(m)
	}
	if m.transport == nil {
		m.protocol = protocol
		m.transport = s.protocols.Constructors[protocol](m.Name, m.Addr)
		m.transport.SetAcceptsWork(m.State == routing.Ready)
	}
}

// drain drains the member's transport and removes stopped transports from s.draining.
func (s *Set) drain(m *member) {
	m.transport.Drain()
	s.draining = slices.DeleteFunc(s.draining, Transport.Stopped)
	s.draining = append(s.draining, m.transport)
	m.transport = nil
}

// Send sends the attempts of one request to a server. It returns false if the server is not listed or its transport
// does not accept them.
func (s *Set) Send(id routing.ServerID, attempts []coordinator.Attempt) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	s.selectProtocol(m)
	return m.transport.Send(attempts)
}

// Cancel cancels an attempt on the server's transport and on those that are draining.
func (s *Set) Cancel(id routing.ServerID, attempt coordinator.AttemptID) {
	if m := s.members[id]; m != nil {
		m.transport.Cancel(attempt)
	}
	for _, t := range s.draining {
		t.Cancel(attempt)
	}
}

// CheckHealth sends a health check to a server. It returns false if the server is not listed or its transport does
// not accept it.
func (s *Set) CheckHealth(id routing.ServerID, number uint64) bool {
	m := s.members[id]
	if m == nil {
		return false
	}
	s.selectProtocol(m)
	return m.transport.CheckHealth(number)
}

// AbandonHealthCheck says that the result of a health check is no longer needed.
func (s *Set) AbandonHealthCheck(id routing.ServerID, number uint64) {
	if m := s.members[id]; m != nil {
		m.transport.AbandonHealthCheck(number)
	}
}

// Close stops all transports, including those that are draining, and waits for them.
func (s *Set) Close() {
	all := s.draining
	for _, m := range s.members {
		all = append(all, m.transport)
	}
	for _, t := range all {
		t.Close()
	}
	for _, t := range all {
		t.Wait()
	}
}
