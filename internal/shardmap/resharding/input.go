package resharding

import (
	"time"

	"linkpass/internal/shardmap"
)

// ShardStatus is a server's progress in copying a shard.
type ShardStatus struct {
	Shard    shardmap.ShardID `json:"slice"`
	Complete bool             `json:"complete"`
	Records  int64            `json:"records"` // copied so far
}

// Report is what a server last reported on its shards of one index.
type Report struct {
	ReceivedAt time.Duration // on the clock of Input.Now
	Version    uint64        // of the shard map that the server knows
	Shards     []ShardStatus
}

// Input is all that a decision depends on.
type Input struct {
	Now        time.Duration
	Maps       map[string]*shardmap.Map     // by index
	Reports    map[string]map[string]Report // by server, by index
	Healthy    map[string]bool              // servers that accept new work, by name
	Overloaded bool                         // queries are rejected for lack of capacity
}

// hasHealthyReplica reports whether any server that is assigned the shard is healthy.
func (in Input) hasHealthyReplica(s shardmap.Shard) bool {
	for _, server := range s.Replicas {
		if in.Healthy[server] {
			return true
		}
	}
	return false
}

// shardWithoutHealthyReplica returns a new shard of a plan that is assigned to no healthy server. It reports
// false if there is none.
func (in Input) shardWithoutHealthyReplica(p shardmap.Plan) (shardmap.ShardID, bool) {
	for _, s := range p.To {
		if !in.hasHealthyReplica(s) {
			return s.ID, true
		}
	}
	return 0, false
}

// isComplete reports whether a server has all records of a shard, according to a report that is not older than
// ttl.
func (in Input) isComplete(server, index string, shard shardmap.ShardID, ttl time.Duration) bool {
	r, ok := in.Reports[server][index]
	if !ok || in.Now-r.ReceivedAt > ttl {
		return false
	}
	for _, status := range r.Shards {
		if status.Shard == shard && status.Complete {
			return true
		}
	}
	return false
}

// completeReplicas returns, for each new shard of a plan, the healthy servers that have a complete copy. The plan
// is ready once every healthy server that is assigned a new shard has a complete copy of it, and each new shard
// has at least one such server.
func (in Input) completeReplicas(index string, p shardmap.Plan, ttl time.Duration) (
	complete map[shardmap.ShardID][]string, ready bool,
) {
	complete, ready = map[shardmap.ShardID][]string{}, true
	for _, s := range p.To {
		for _, server := range s.Replicas {
			if !in.Healthy[server] {
				continue
			}
			if in.isComplete(server, index, s.ID, ttl) {
				complete[s.ID] = append(complete[s.ID], server)
			} else {
				ready = false
			}
		}
		ready = ready && len(complete[s.ID]) > 0
	}
	return complete, ready
}

// copiedRecords returns how many records of a plan's new shards have been copied, over all replicas.
func (in Input) copiedRecords(index string, p shardmap.Plan) (records int64) {
	for _, s := range p.To {
		for _, server := range s.Replicas {
			for _, status := range in.Reports[server][index].Shards {
				if status.Shard == s.ID {
					records += status.Records
				}
			}
		}
	}
	return records
}
