// Package resharding is the controller of shard maps: it decides which step each plan takes next and which shards
// each server is assigned.
//
// It is pure: its input is the shard maps and the reports of servers, its output commands and assignments. It
// does not execute them (package reshardexec does) and has no state that must survive: a controller that takes
// over in the middle of any step continues from the shard maps.
package resharding
