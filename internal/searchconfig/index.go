package searchconfig

import "linkpass/internal/shardmap"

// Index is the configuration of one index: its request class and exactly one
// description of its shards.
type Index struct {
	Class string `json:"class" toml:"class"`
	// Shards are fixed shard numbers, for an index that is never resharded.
	Shards []int `json:"slices,omitempty" toml:"slices"`
	// ShardMap takes the place of Shards for an index whose shards can split, merge and move.
	ShardMap *shardmap.Document `json:"layout,omitempty" toml:"layout"`
	// InitialSharding generates the first version of ShardMap. It is read but never written back.
	InitialSharding *InitialSharding `json:"spread,omitempty" toml:"spread"`
}

// InitialSharding creates a number of shards of equal size and assigns them to the
// replica sets round-robin.
type InitialSharding struct {
	Shards      int        `json:"slices" toml:"slices"`
	ReplicaSets [][]string `json:"sets" toml:"sets"`
}
