// Package coverage computes which keys the answers of a query cover. Where shards can be
// resharded it alone decides whether the result of a query is complete.
//
// The package is pure and on the request path. A Tracker belongs to one query; it is not
// safe for concurrent use.
package coverage
