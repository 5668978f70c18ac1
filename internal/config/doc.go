// Package config is the replicated configuration of a cluster of coordinators: servers, their restrictions and
// weights, shard maps and settings. It defines the commands that a log entry can hold, the state that they
// produce, and the encoding of both.
//
// State is a deterministic state machine. The same commands in the same order give the same state, byte for
// byte, at every instance; a snapshot's hash shows whether two instances have diverged. The package owns no
// I/O, clock or goroutine: the replicated log itself is internal/store's, and what is done about a state is for
// its readers.
package config
