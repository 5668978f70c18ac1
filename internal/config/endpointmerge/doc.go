// Package endpointmerge merges the list of servers that discovery gives with the overrides that instances have
// replicated: restrictions, weights and added servers. Its rules are in docs/design/raft.md.
//
// The package owns the last state of both sources and of the merged list. It owns no I/O, clock or goroutine,
// and decides no override: internal/config does.
package endpointmerge
