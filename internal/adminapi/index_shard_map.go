package adminapi

import "linkpass/internal/shardmap"

// MaxShards bounds the shards, and the open plans, that a response lists of an index.
const MaxShards = 500

// IndexShardMap is the shard map of an index, up to MaxShards.
type IndexShardMap struct {
	Index   string           `json:"index"`
	Version uint64           `json:"version"`
	Total   int              `json:"total"`  // shards
	Shards  []shardmap.Shard `json:"slices"` // the first MaxShards of them, in the order of their keys
	Plans   []shardmap.Plan  `json:"plans,omitempty"`
}
