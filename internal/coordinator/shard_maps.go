package coordinator

import (
	"slices"

	"linkpass/internal/routing"
	"linkpass/internal/shardmap"
	"linkpass/internal/shardmap/replan"
)

// collection is one collection's shard map, as the router knows it. The router's shard numbers of one collection differ
// from those of the fixed shard map and of every other collection.
type collection struct {
	number  int
	current *shardmap.Map // nil: the collection was removed
	open    int           // open queries that were planned on it
	// removals take the collection's shards from the router; they wait until no query is open on a removed collection.
	removals []routing.ShardPlacement
}

// routerShard is the router's number of a shard. A collection that was removed and comes back is a new one, so that no
// number is used twice.
func (col *collection) routerShard(id shardmap.ShardID) int { return col.number<<32 + int(id) }

// UpdateShardMaps applies changes of shard maps, which the caller has computed off the core's goroutine. serverID maps
// a replica's name to the router's ID of it; it runs on the core's goroutine and must not block.
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

// knownCollection returns the collection of a change, which a change with a map creates; nil: it does not exist.
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

// removeCollection forgets a collection. Queries that are open on it end on the version that they were planned on.
func (c *Core) removeCollection(name string, col *collection, removals []routing.ShardPlacement) {
	delete(c.collections, name)
	col.removals = removals
	if col.open == 0 {
		c.removeShards(col)
	}
}

// removeShards takes a removed collection's shards from the router.
func (c *Core) removeShards(col *collection) {
	c.addRemovals(col.removals)
	col.removals = nil
}

func (c *Core) addRemovals(removals []routing.ShardPlacement) {
	for _, removal := range removals {
		c.addEvent(removal)
	}
}

// markMovedAttempts marks the attempts at removed shards, so that those that are not yet written never will be.
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
		if p == nil || p.replaced { // merged into another part meanwhile
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
		if p.query.collection == col && p.isPending() && p.inFlight == 0 && removed[p.Request.Shard] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
