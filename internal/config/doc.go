// Package config holds the replicated configuration of a cluster of coordinators: servers, their restrictions and
// weights, shard maps and settings. It defines the commands that a log entry can contain, the state that the commands
// produce, and the encoding of both.
//
// State is a deterministic state machine. The same commands in the same order produce the same state, byte for byte,
// at every instance; comparing the hashes of their snapshots shows whether two instances have diverged. The package
// does no I/O, reads no clock and starts no goroutine. Package store implements the replicated log; the readers of a
// state put it into effect.
package config
