package emulator

import (
	"slices"

	"linkpass/internal/shardmap"
)

// indexReplica is what a server holds of an index.
type indexReplica struct {
	version uint64 // version of the shard map
	shards  map[shardmap.ShardID]*shardReplica
}

// shardReplica is what a server holds of a shard.
type shardReplica struct {
	keys     shardmap.Range
	records  []Record // sorted by key if complete; otherwise only their number has a meaning
	complete bool     // all records of the range are held
	copying  bool     // a goroutine runs copyShard for this shard
}

// PlaceShards makes the server hold, complete and at once, all shards of an index that a shard map assigns to it. They
// replace the shards of that index held before.
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

// lookupResult is what a server has of a requested range. If neither moved nor ready is set, the server does not yet
// have the complete shard.
type lookupResult struct {
	records []Record
	version uint64 // version of the server's shard map; 0 if it has none
	moved   bool   // the shard is assigned to other servers
	ready   bool   // the records are complete
}

// lookUp returns the records of a shard whose keys lie in a range.
func (s *Server) lookUp(index string, id shardmap.ShardID, keys shardmap.Range) lookupResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.claimedVersion > 0 {
		return lookupResult{version: s.faults.claimedVersion, moved: true}
	}
	replica := s.indices[index]
	if replica == nil {
		return lookupResult{} // the server started without shards and has received no assignment yet
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

// largestSubrange returns the largest subrange of a range that lies in one complete shard of this server, with its
// records. It returns false if there is none or the server claims a shard map version.
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
