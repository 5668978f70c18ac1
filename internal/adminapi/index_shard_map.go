package adminapi

import "linkpass/internal/shardmap"

// MaxShards is the maximum number of shards, and of open plans, that a response lists for an index.
const MaxShards = 500

// IndexShardMap is the shard map of an index. It lists at most MaxShards shards and MaxShards open plans.
type IndexShardMap struct {
	Index   string           `json:"index"`
	Version uint64           `json:"version"`
	Total   int              `json:"total"`           // number of shards of the index
	Shards  []shardmap.Shard `json:"slices"`          // the first MaxShards, in key order
	Plans   []shardmap.Plan  `json:"plans,omitempty"` // the first MaxShards open plans
}
