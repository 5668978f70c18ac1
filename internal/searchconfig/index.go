package searchconfig

import "linkpass/internal/shardmap"

// Index is the configuration of one index: its request class and exactly one of Shards,
// ShardMap and InitialSharding.
type Index struct {
	Class string `json:"class" toml:"class"`
	// Shards lists the fixed shard numbers of an index that is never resharded.
	Shards []int `json:"slices,omitempty" toml:"slices"`
	// ShardMap describes the shards of an index whose shards can split, merge and move.
	ShardMap *shardmap.Document `json:"layout,omitempty" toml:"layout"`
	// InitialSharding generates the first version of ShardMap, which then replaces it: it
	// is read but never written back.
	InitialSharding *InitialSharding `json:"spread,omitempty" toml:"spread"`
}

// InitialSharding divides an index into shards of equal size and assigns them to the
// replica sets round-robin.
type InitialSharding struct {
	Shards int `json:"slices" toml:"slices"` // number of shards
	// ReplicaSets lists the names of the servers in each set.
	ReplicaSets [][]string `json:"sets" toml:"sets"`
}
