// Package querynames remembers the names of the queries that run, or that have run for a client that did not stay for the
// answer, so that none of them runs twice.
//
// A Table lies in a file that the processes of one coordinator map into memory, so that a name is claimed in all of them
// at once. It has a fixed size: a claim takes a free place of its bucket or, if none is free, that of another claim. A
// process that ends leaves its claims behind, as its queries may have run. The package does not know what a query is.
package querynames
