// Package endpoints keeps an instance's list of servers: discovery's, merged with the overrides that the
// replicated log holds and with the restrictions that are still pending.
//
// A restriction takes effect here as soon as it is issued or received. A worker for each other instance
// broadcasts it beside the log, and the leader proposes it until the log has settled it; so a drain needs no
// majority. The package owns the pending restrictions, the merged list and those workers. It decides nothing
// that internal/config does not decide, and keeps nothing on disk.
package endpoints
