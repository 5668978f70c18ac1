package coordinator

import (
	"slices"

	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/replan"
)

// collection is the shard map of one collection, as known to the router. The router's shard numbers for a collection
// differ from those of the fixed shard map and of every other collection.
type collection struct {
	number  int           // starts at 1; see routerShard
	current *shardmap.Map // nil if the collection was removed
	open    int           // number of open queries that were planned on the collection
	// removals are the events that remove the collection's shards from the router. They are held back while a query
	// is open on the removed collection.
	removals []routing.ShardPlacement
}

// routerShard returns the router's number for a shard. A collection that is removed and created again gets a new
// number, so that no shard number is reused.
func (col *collection) routerShard(id shardmap.ShardID) int { return col.number<<32 + int(id) }

// UpdateShardMaps applies changes to shard maps. The caller computes them, which keeps that work off the core's
// goroutine. serverID maps a replica's name to its server ID in the router; it runs on the core's goroutine and must
// not block.
func (c *Core) UpdateShardMaps(changes []shardmap.Change, serverID func(string) routing.ServerID) {
	c.post(shardMapsUpdated{changes, serverID})
}

func (c *Core) updateShardMaps(changes []shardmap.Change, serverID func(string) routing.ServerID) {
	for _, change := range changes {
		c.applyChange(change, serverID)
	}
}

func (c *Core) applyChange(change shardmap.Change, serverID func(string) routing.ServerID) {
	col := c.knownCollection(change)
	if col == nil {
		return
	}
	c.counters.Add("shard_map_changes", 1)
	col.current = change.Map
	c.addPlacements(col, change.Added, serverID)
	var removals []routing.ShardPlacement
	for _, shard := range change.Removed {
		removals = append(removals, routing.ShardPlacement{Shard: col.routerShard(shard.ID)})
	}
	if change.Map == nil {
		c.removeCollection(change.Collection, col, removals)
		return
	}
	removed := map[shardmap.ShardID]bool{}
	for _, shard := range change.Removed {
		removed[shard.ID] = true
	}
	c.markMovedAttempts(col, removed)
	c.replanIdleParts(col, removed)
	c.addRemovals(removals)
}

// knownCollection returns the collection that a change is for. If it does not exist, a change with a map creates it,
// and for a change without one the result is nil.
func (c *Core) knownCollection(change shardmap.Change) *collection {
	col := c.collections[change.Collection]
	if col == nil && change.Map != nil {
		c.collectionCount++
		col = &collection{number: c.collectionCount}
		c.collections[change.Collection] = col
	}
	return col
}

// addPlacements tells the router which servers hold the added shards.
func (c *Core) addPlacements(col *collection, added []shardmap.Shard, serverID func(string) routing.ServerID) {
	for _, shard := range added {
		servers := make([]routing.ServerID, len(shard.Replicas))
		for i, name := range shard.Replicas {
			servers[i] = serverID(name)
		}
		c.addEvent(routing.ShardPlacement{Shard: col.routerShard(shard.ID), Servers: servers})
	}
}

// removeCollection removes a collection. Its open queries continue on the shard map version that they were planned
// on.
func (c *Core) removeCollection(name string, col *collection, removals []routing.ShardPlacement) {
	delete(c.collections, name)
	col.removals = removals
	if col.open == 0 {
		c.removeShards(col)
	}
}

// removeShards removes the shards of a removed collection from the router.
func (c *Core) removeShards(col *collection) {
	c.addRemovals(col.removals)
	col.removals = nil
}

func (c *Core) addRemovals(removals []routing.ShardPlacement) {
	for _, removal := range removals {
		c.addEvent(removal)
	}
}

// markMovedAttempts marks the attempts at removed shards, so that transports do not write those that are still
// unwritten.
func (c *Core) markMovedAttempts(col *collection, removed map[shardmap.ShardID]bool) {
	for _, a := range c.attempts {
		if a.part.query.collection == col && removed[a.part.Request.Shard] {
			a.shardMoved.Store(true)
		}
	}
}

// replanIdleParts replaces the parts of removed shards that have no attempt in flight.
func (c *Core) replanIdleParts(col *collection, removed map[shardmap.ShardID]bool) {
	for _, id := range c.idleParts(col, removed) {
		p := c.parts[id]
		if p == nil || p.replaced { // an earlier iteration replaced it together with another part
			continue
		}
		if replacement, reason := c.replan(p, nil); reason == replan.Replanned {
			c.addEvent(replacement)
		}
	}
}

// idleParts returns the parts of removed shards that have no attempt in flight, oldest first.
func (c *Core) idleParts(col *collection, removed map[shardmap.ShardID]bool) (ids []routing.RequestID) {
	for id, p := range c.parts {
		if p.query.collection == col && p.needsAnswer() && p.inFlight == 0 && removed[p.Request.Shard] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
