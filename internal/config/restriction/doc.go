// Package restriction holds requests to take servers out of service that the replicated log has not decided yet.
//
// A request takes effect at an instance as soon as the instance receives it, without a majority. The pending
// requests are a grow-only set: sets of different instances join by union, and a request leaves one only when
// the log has settled it. So the order, repetition and delay of messages do not matter, and a drain survives a
// partition. The proof is in docs/design/raft.md.
//
// The package owns no I/O, clock or goroutine. It neither sends requests (internal/endpoints does) nor decides them
// (internal/config does).
package restriction
