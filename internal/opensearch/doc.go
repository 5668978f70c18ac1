// Package opensearch speaks OpenSearch's HTTP API on both sides of the coordinator: Front serves clients that
// search, Codec sends each part of a query to a server as a search of one shard. It makes no routing
// decisions; a search goes through the same core as a query of package platform.
//
// The names of the API are known to this package alone: errors.go lists the exception types, response.go the
// fields of a search's response, codec.go the headers between the coordinator and its servers. What the API
// calls a layout is a shardmap.Map, a slice is a shard.
//
// The package starts no goroutine. The channel on which a search waits for its answer belongs to Front.await.
package opensearch
