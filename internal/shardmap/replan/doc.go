// Package replan replaces the parts of a query whose shards no longer serve: parts that were planned on one
// version of a shard map and have to be requested on a newer one.
//
// The package is pure: no I/O, clock or goroutine. It is called on the request path. It does not send requests or
// count attempts (package coordinator does).
package replan
