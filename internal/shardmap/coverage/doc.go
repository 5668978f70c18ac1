// Package coverage tracks which keys the answers of a query cover. For indices that can be resharded, it alone
// decides whether the result of a query is complete.
//
// The package is pure: no I/O, clock or goroutine. It is called on the request path. A Tracker belongs to one
// query and is not safe for concurrent use.
package coverage
