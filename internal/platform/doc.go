// Package platform serves the platform's clients over HTTP: a client posts a query that is already divided
// into parts, one a shard, and gets one JSON answer.
//
// Front is the handler. The names of the protocol (paths, headers, JSON fields) are known to protocol.go
// alone, which maps them to the terms of package coordinator; request.go decodes a request, answer.go
// encodes the core's answer.
//
// The package starts no goroutine. The channel on which a request waits for its answer belongs to
// Front.await.
package platform
