package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// unlistedRetention is how long after its last attempt a server that left the list is remembered, so that one
// which comes back soon is not taken for a new one.
const unlistedRetention = maxHealthHalfLife

// endpointList is the endpoint list as last notified, and which of its servers hold a shard.
type endpointList struct {
	settings   *Settings
	servers    map[ServerID]*server // listed now, or a short while ago
	listed     []*server            // by id
	placements map[int][]ServerID   // by shard: the replicas that a ShardPlacement named
	replicas   map[int][]*server    // by shard: replicasOf's results since the last change
}

func newEndpointList(settings *Settings) *endpointList {
	return &endpointList{
		settings:   settings,
		servers:    map[ServerID]*server{},
		placements: map[int][]ServerID{},
		replicas:   map[int][]*server{},
	}
}

// unlistAll prepares for a complete list: a server that it does not name is gone.
func (l *endpointList) unlistAll() {
	for _, s := range l.listed {
		s.listed = false
	}
}

// learn takes one endpoint of an update. restarted tells that the server is new, or is a new incarnation:
// what was learned of the one before is forgotten.
func (l *endpointList) learn(e Endpoint) (s *server, restarted bool) {
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

// refresh follows the changes of an update. Guards the memory: servers that left the list are dropped in
// time.
func (l *endpointList) refresh(now time.Duration) {
	maps.DeleteFunc(l.servers, func(_ ServerID, s *server) bool {
		return !s.listed && s.inFlight.count == 0 && now > s.inFlight.lastSentAt+unlistedRetention
	})
	l.listed = filter(slices.Collect(maps.Values(l.servers)), func(s *server) bool { return s.listed })
	slices.SortFunc(l.listed, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	clear(l.replicas)
}

// place sets the replicas of a shard in place of those that follow from its cells.
func (l *endpointList) place(p ShardPlacement) {
	delete(l.replicas, p.Shard)
	if len(p.Servers) == 0 {
		delete(l.placements, p.Shard)
		return
	}
	l.placements[p.Shard] = p.Servers
}

// replicasOf lists the servers that hold a shard, by id: those of its placement, or else those of its cells.
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

// cellHolds tells whether the servers of a cell hold a shard: shard s lies in the cells s to
// s+ReplicasPerShard-1.
func (l *endpointList) cellHolds(cell, shard int) bool {
	cells := l.settings.Cells
	distance := ((cell-shard)%cells + cells) % cells
	return cell < cells && distance < l.settings.ReplicasPerShard
}
