package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// unlistedRetention is how long the state of a server that left the endpoint list is kept after its last
// attempt, so that a server that is soon listed again is not treated as new.
const unlistedRetention = maxHealthHalfLife

// endpointList is the latest endpoint list, with the replicas of each shard.
type endpointList struct {
	settings   *Settings
	servers    map[ServerID]*server // listed servers, and unlisted ones not dropped yet
	listed     []*server            // by id
	placements map[int][]ServerID   // by shard: the replicas set by a ShardPlacement
	replicas   map[int][]*server    // by shard: cached results of replicasOf; cleared by changes
}

func newEndpointList(settings *Settings) *endpointList {
	return &endpointList{
		settings:   settings,
		servers:    map[ServerID]*server{},
		placements: map[int][]ServerID{},
		replicas:   map[int][]*server{},
	}
}

// markAllUnlisted marks all servers as not listed. It is called before a full update is applied, so that
// servers which the update does not contain end up removed.
func (l *endpointList) markAllUnlisted() {
	for _, s := range l.listed {
		s.listed = false
	}
}

// applyEndpoint applies one endpoint of an update. restarted is true if the server is new, or if the endpoint
// is a later incarnation of a known server; the state of the previous incarnation is then reset.
func (l *endpointList) applyEndpoint(e Endpoint) (s *server, restarted bool) {
	s = l.servers[e.Server]
	if s == nil {
		s = &server{id: e.Server}
		l.servers[e.Server] = s
	}
	restarted = s.health.byClass == nil || e.StartedAt > s.endpoint.StartedAt
	if restarted {
		s.resetForRestart(e, len(l.settings.Classes))
	}
	s.endpoint, s.listed = e, e.State != Removed
	return s, restarted
}

// rebuild brings the sorted list and the replica cache up to date after an update. It also bounds memory use:
// it drops servers that left the list, have no attempt in flight and are past unlistedRetention.
func (l *endpointList) rebuild(now time.Duration) {
	maps.DeleteFunc(l.servers, func(_ ServerID, s *server) bool {
		return !s.listed && s.inFlight.count == 0 && now > s.inFlight.lastSentAt+unlistedRetention
	})
	l.listed = filter(slices.Collect(maps.Values(l.servers)), func(s *server) bool { return s.listed })
	slices.SortFunc(l.listed, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	clear(l.replicas)
}

// setPlacement overrides the replicas that a shard has by its cells. A placement without servers removes the
// override.
func (l *endpointList) setPlacement(p ShardPlacement) {
	delete(l.replicas, p.Shard)
	if len(p.Servers) == 0 {
		delete(l.placements, p.Shard)
		return
	}
	l.placements[p.Shard] = p.Servers
}

// replicasOf returns the listed replicas of a shard, sorted by id: those of its placement if it has one,
// otherwise those of its cells.
func (l *endpointList) replicasOf(shard int) []*server {
	list, cached := l.replicas[shard]
	if !cached {
		ids, placed := l.placements[shard]
		byCell := !placed && shard < l.settings.Shards
		list = filter(l.listed, func(s *server) bool {
			return slices.Contains(ids, s.id) || byCell && l.cellHolds(s.endpoint.Cell, shard)
		})
		l.replicas[shard] = list
	}
	return list
}

// cellHolds reports whether the servers of a cell hold a shard. Shard s is held by the cells s to
// s+ReplicasPerShard-1, modulo the number of cells.
func (l *endpointList) cellHolds(cell, shard int) bool {
	cells := l.settings.Cells
	distance := ((cell-shard)%cells + cells) % cells
	return cell < cells && distance < l.settings.ReplicasPerShard
}
