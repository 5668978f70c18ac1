package config

import (
	"maps"
	"math"

	"linkpass/internal/config/restriction"
)

// ServerSpec is the specification of a server that a command added.
type ServerSpec struct {
	Addr string `cbor:"1,keyasint" json:"addr"`
	Zone string `cbor:"2,keyasint" json:"zone,omitempty"`
	Kind string `cbor:"3,keyasint" json:"kind,omitempty"`
	// Cell is the number of the server's replica placement group, from 0.
	Cell int `cbor:"4,keyasint" json:"cell"`
}

// Server is the replicated configuration of a server.
type Server struct {
	// Version is the version of the state at the server's latest change.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Spec is nil for a server that no command added; such a server may still have a weight or a restriction.
	Spec *ServerSpec `cbor:"2,keyasint,omitempty" json:"spec,omitempty"`
	// Weight overrides the weight that discovery reports, unless it is 0.
	Weight      float64           `cbor:"3,keyasint,omitempty" json:"weight,omitempty"`
	Restriction restriction.Level `cbor:"4,keyasint,omitempty" json:"restriction,omitempty"`
}

// lookupServer returns the server that a command names. It rejects a command that names no server, a removed one, a
// version other than the current one, or an additional server above MaxServers.
func (s *State) lookupServer(c Command) (Server, Result) {
	server, known := s.servers[c.Server]
	switch {
	case c.Server == "":
		return server, reject(Invalid, "no server is named")
	case s.removed[c.Server]:
		return server, reject(ServerIDRetired, "%s", c.Server)
	case c.ExpectedVersion != 0 && (!known || c.ExpectedVersion != server.Version):
		return server, reject(Conflict, "%s is at version %d, the command was made on %d",
			c.Server, server.Version, c.ExpectedVersion)
	case !known && len(s.servers) >= MaxServers:
		return server, reject(LimitExceeded, "%d servers", MaxServers)
	}
	return server, Result{}
}

// putServer stores a server with the version that the state has after the current command.
func (s *State) putServer(id string, server Server) {
	server.Version = s.version + 1
	s.servers = maps.Clone(s.servers)
	s.servers[id] = server
}

// applyServerSpec applies AddServer and UpdateServer.
func (s *State) applyServerSpec(c Command) Result {
	server, r := s.lookupServer(c)
	switch {
	case r.Reason != Applied:
		return r
	case c.Spec == nil || c.Spec.Addr == "" || c.Spec.Cell < 0:
		return reject(Invalid, "%s needs an address and a cell", c.Server)
	case c.Kind == AddServer && server.Spec != nil:
		return reject(ServerExists, "%s", c.Server)
	case c.Kind == UpdateServer && server.Spec == nil:
		return reject(ServerNotFound, "%s", c.Server)
	}
	server.Spec = c.Spec
	s.putServer(c.Server, server)
	return Result{}
}

// applyServerWeight applies SetServerWeight.
func (s *State) applyServerWeight(c Command) Result {
	server, r := s.lookupServer(c)
	if r.Reason != Applied {
		return r
	}
	if math.IsNaN(c.Weight) || math.IsInf(c.Weight, 0) || c.Weight < 0 {
		return reject(Invalid, "weight %v", c.Weight)
	}
	server.Weight = c.Weight
	s.putServer(c.Server, server)
	return Result{}
}
