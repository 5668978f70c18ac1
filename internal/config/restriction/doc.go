// Package restriction holds requests to take servers out of service that the replicated log has not settled yet.
//
// A request takes effect at an instance as soon as the instance receives it, without a majority. The pending requests
// are a grow-only set: the sets of different instances are merged by union, and a request leaves a set only after the
// log has settled it. Therefore the order, repetition and delay of messages do not matter, and a drain stays in effect
// during a network partition. The proof is in docs/design/raft.md.
//
// The package does no I/O, reads no clock and starts no goroutine. Package endpoints sends the requests, and package
// config accepts or rejects them.
package restriction
