// Package resharding is the controller of shard maps: it decides which step each plan
// takes next, and which shards each server is assigned.
//
// It is pure: reports of servers go in, commands and assignments come out. It does not
// execute them (package reshardexec does) and keeps no state that must survive: a
// controller that takes over in the middle of any step continues from the shard maps.
package resharding
