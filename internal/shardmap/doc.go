// Package shardmap models how the records of an index are distributed over shards: which
// shard owns which range of the key space, which servers hold its replicas, and the plans
// (split, merge, move) that change that.
//
// A Map is one immutable version. Apply returns the next version after a Command and maintains the invariants
// that Validate checks. The package is pure: no I/O, clock or goroutine. It does not decide when a plan advances
// (package resharding does), nor does it copy data or replicate commands.
package shardmap
