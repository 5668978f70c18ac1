package config

import (
	"fmt"
	"maps"
	"slices"

	"linkpass/internal/config/restriction"
	"linkpass/internal/shardmap"
)

// RejectedRestriction is a restriction request that was rejected when its log entry was applied, or that an
// UndrainServer command withdrew.
type RejectedRestriction struct {
	Request restriction.Request `cbor:"1,keyasint" json:"order"`
	Reason  Reason              `cbor:"2,keyasint" json:"why"`
	// Version is the version of the state after the command that rejected or withdrew the request.
	Version uint64 `cbor:"3,keyasint" json:"at"`
}

// applyRestriction applies RestrictServer. The request is settled whether it is accepted or rejected, so that no
// instance proposes it again.
func (s *State) applyRestriction(c Command) Result {
	request := c.Restriction
	if request == nil || !validRestriction(*request) {
		return reject(Invalid, "an order needs an id, a server and a kind")
	}
	if s.settled.Contains(request.ID) {
		return reject(AlreadySettled, "%s", request.ID)
	}
	s.settled = s.settled.With(request.ID)
	r := s.restrictServer(*request)
	if r.Reason != Applied {
		s.recordRejection(*request, r.Reason)
	}
	return r
}

// validRestriction reports whether a request has an id, a server and a valid level.
func validRestriction(r restriction.Request) bool {
	return r.Server != "" && len(r.Server) <= MaxNameBytes &&
		r.ID.Seq != 0 &&
		r.Level != restriction.None && r.Level <= restriction.Removed
}

// restrictServer applies a restriction. Unless the request has Force set, it rejects one that would leave a shard or a
// cell without a replica in service.
func (s *State) restrictServer(request restriction.Request) Result {
	server, known := s.servers[request.Server]
	if s.removed[request.Server] {
		if request.Level == restriction.Removed {
			return Result{} // the server is already removed
		}
		return reject(ServerIDRetired, "%s", request.Server)
	}
	tooManyServers := !known && len(s.servers) >= MaxServers
	tooManyRemoved := request.Level == restriction.Removed && len(s.removed) >= MaxRemovedIDs
	if tooManyServers || tooManyRemoved {
		return reject(LimitExceeded, "%d servers, %d removed ids", len(s.servers), len(s.removed))
	}
	uncovered := s.uncoveredWithout(request.Server)
	reported := uncovered[:min(len(uncovered), MaxReportedShards)]
	if len(uncovered) > 0 && !request.Force {
		r := reject(NoReplicaLeft, "%d slices, %s among them", len(uncovered), uncovered[0])
		r.UncoveredShards = reported
		return r
	}
	if request.Level == restriction.Removed {
		s.removeServer(request.Server)
		return Result{UncoveredShards: reported}
	}
	server.Restriction = max(server.Restriction, request.Level)
	s.putServer(request.Server, server)
	return Result{UncoveredShards: reported}
}

// removeServer deletes a server's configuration and retires its id.
func (s *State) removeServer(id string) {
	s.servers = maps.Clone(s.servers)
	delete(s.servers, id)
	s.removed = maps.Clone(s.removed)
	s.removed[id] = true
}

// recordRejection appends a rejected restriction and drops the oldest ones above MaxRejectedRestrictions.
func (s *State) recordRejection(request restriction.Request, reason Reason) {
	rejection := RejectedRestriction{Request: request, Reason: reason, Version: s.version + 1}
	s.rejected = append(slices.Clone(s.rejected), rejection)
	if excess := len(s.rejected) - MaxRejectedRestrictions; excess > 0 {
		s.rejected = s.rejected[excess:]
	}
}

// applyUndrain applies UndrainServer. It also withdraws the pending restrictions that the operator saw, because they
// would drain the server again as soon as an instance proposed them.
func (s *State) applyUndrain(c Command) Result {
	server, r := s.lookupServer(c)
	if r.Reason != Applied {
		return r
	}
	if len(c.WithdrawnIDs) > restriction.MaxPending {
		return reject(Invalid, "%d orders are named, %d at most", len(c.WithdrawnIDs), restriction.MaxPending)
	}
	for _, id := range c.WithdrawnIDs {
		if s.settled.Contains(id) {
			continue
		}
		s.settled = s.settled.With(id)
		withdrawn := restriction.Request{ID: id, Server: c.Server, Level: restriction.Draining}
		s.recordRejection(withdrawn, reasonUndrained)
	}
	if server.Restriction == restriction.None {
		return Result{}
	}
	server.Restriction = restriction.None
	s.putServer(c.Server, server)
	return Result{}
}

// uncoveredWithout lists the shards and cells that have a replica in service now and would have none if a server were
// restricted. Shards are judged by the replicas in the shard maps, and cells by the servers that commands added: the
// state does not contain the cells that only discovery lists.
func (s *State) uncoveredWithout(server string) []string {
	if s.Restriction(server) != restriction.None {
		return nil // the server is out of service already
	}
	inService := func(id string) bool {
		return id != server && s.Restriction(id) == restriction.None
	}
	var uncovered []string
	for _, index := range slices.Sorted(maps.Keys(s.settings.Indices)) {
		shardMap := s.settings.ShardMap(index)
		if shardMap == nil {
			continue
		}
		for _, shard := range uncoveredShards(shardMap, server, inService) {
			uncovered = append(uncovered, fmt.Sprintf("%s/%d", index, shard))
		}
	}
	if spec := s.servers[server].Spec; spec != nil && !s.cellCovered(spec.Cell, inService) {
		uncovered = append(uncovered, fmt.Sprintf("cell %d", spec.Cell))
	}
	return uncovered
}

// uncoveredShards lists the shards that have server as a replica and no replica for which inService returns true.
func uncoveredShards(m *shardmap.Map, server string, inService func(id string) bool) []shardmap.ShardID {
	var uncovered []shardmap.ShardID
	for _, shard := range m.Shards() {
		if slices.Contains(shard.Replicas, server) && !slices.ContainsFunc(shard.Replicas, inService) {
			uncovered = append(uncovered, shard.ID)
		}
	}
	return uncovered
}

// cellCovered reports whether a server that a command added to a cell is in service.
func (s *State) cellCovered(cell int, inService func(id string) bool) bool {
	for id, server := range s.servers {
		if server.Spec != nil && server.Spec.Cell == cell && inService(id) {
			return true
		}
	}
	return false
}
