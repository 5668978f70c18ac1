package emulator

import (
	"slices"

	"linkpass/internal/shardmap"
)

// indexReplica is what a server holds of an index.
type indexReplica struct {
	version uint64 // of the shard map
	shards  map[shardmap.ShardID]*shardReplica
}

// shardReplica is what a server holds of a shard.
type shardReplica struct {
	keys     shardmap.Range
	records  []Record // sorted by key if complete; otherwise only their number means anything
	complete bool
	copying  bool // a goroutine of copyShard owns the copy
}

// PlaceShards makes the server hold all shards of an index that a shard map assigns to it, complete.
func (s *Server) PlaceShards(index string, shardMap *shardmap.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := &indexReplica{version: shardMap.Version(), shards: map[shardmap.ShardID]*shardReplica{}}
	for _, shard := range shardMap.Shards() {
		if slices.Contains(shard.Replicas, s.Name) {
			replica.shards[shard.ID] = &shardReplica{keys: shard.Range, records: recordsWithin(s.records, shard.Range), complete: true}
		}
	}
	s.indices[index] = replica
}

// lookupResult is what a server has of a requested range. If neither moved nor ready is set, the server
// is still to get the shard.
type lookupResult struct {
	records []Record
	version uint64 // of the server's shard map; 0: none
	moved   bool   // the shard is assigned to other servers
	ready   bool   // the records are complete
}

// lookUp finds the records of a range in a shard.
func (s *Server) lookUp(index string, id shardmap.ShardID, keys shardmap.Range) lookupResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.claimedVersion > 0 {
		return lookupResult{version: s.faults.claimedVersion, moved: true}
	}
	replica := s.indices[index]
	if replica == nil {
		return lookupResult{} // the server has started without data and got no assignment yet
	}
	shard := replica.shards[id]
	if shard == nil {
		return lookupResult{version: replica.version, moved: true}
	}
	if !shard.complete {
		return lookupResult{version: replica.version}
	}
	return lookupResult{records: recordsWithin(shard.records, keys), version: replica.version, ready: true}
}

// largestSubrange finds the largest part of a range that lies in one complete shard of this server.
func (s *Server) largestSubrange(index string, keys shardmap.Range) (covered shardmap.Range, records []Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := s.indices[index]
	if replica == nil || s.faults.claimedVersion > 0 {
		return covered, nil, false
	}
	for _, shard := range replica.shards {
		common, overlaps := shard.keys.Intersect(keys)
		if overlaps && shard.complete && (!ok || common.Size() > covered.Size()) {
			covered, records, ok = common, recordsWithin(shard.records, common), true
		}
	}
	return covered, records, ok
}
