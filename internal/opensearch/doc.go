// Package opensearch implements OpenSearch's HTTP API on both sides of the coordinator: Front serves clients that
// search, and Codec sends each part of a query to a server as a search of one shard. The package makes no routing
// decisions; a search goes through the same core as a query of package platform.
//
// The names of the API are used in this package only: errors.go lists the exception types, response.go the
// fields of a search's response, codec.go the headers between the coordinator and its servers. What the API
// calls a layout is a shardmap.Map, and a slice is a shard.
//
// The package starts no goroutine. Front.await owns the channel on which a search waits for its answer.
package opensearch
