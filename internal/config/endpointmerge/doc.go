// Package endpointmerge merges the list of servers from discovery with the replicated overrides: restrictions, weights
// and added servers. docs/design/raft.md describes the rules.
//
// The package keeps the latest state of both sources and of the merged list. It does no I/O, reads no clock and starts
// no goroutine. Package config decides the overrides.
package endpointmerge
