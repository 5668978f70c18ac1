// Package platform is the HTTP front for the platform's clients. A client posts a query that is already divided into
// parts, one for each shard, and receives one JSON answer.
//
// Front is the HTTP handler. The names of the protocol (paths, headers, JSON fields) are defined in protocol.go, which
// maps them to the fields of package coordinator. request.go and parts.go decode a request, answer.go encodes the
// answer.
//
// The package starts no goroutines. Front.await owns the channel on which a request waits for its answer.
package platform
