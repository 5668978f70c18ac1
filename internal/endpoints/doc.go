// Package endpoints keeps an instance's list of servers: the list of discovery, merged with the overrides in the
// replicated log and with the restrictions that are still pending.
//
// A restriction takes effect here as soon as it is issued or received. Besides the log, a worker for each other
// instance broadcasts it directly, so that a drain needs no majority; the leader proposes it until the log has
// settled it. The package owns the pending restrictions, the merged list and those workers. All decisions are
// internal/config's; the pending restrictions are on disk, with the log, before they are acknowledged.
package endpoints
