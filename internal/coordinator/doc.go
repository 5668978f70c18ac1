// Package coordinator runs the queries of one coordinator process. In each turn of its event loop it passes the
// events since the previous turn to the router (package routing) and executes the actions that the router returns. It
// gives each query exactly one final answer.
//
// A Core is the event loop: the goroutine that calls Core.Run owns the router and every open query, part, attempt,
// health check and deadline. The package starts no goroutine. Other goroutines post messages to the loop's mailbox,
// which is bounded, or add them to an unbounded queue that never blocks its caller (mailbox.go). Run ends when its
// context is canceled. It then closes Core.stopped, which unblocks every caller that waits for the loop. The mailbox
// is never closed.
//
// The package is independent of wire formats. Fronts submit queries (query.go) and receive answers (answer.go),
// Transports send attempts and health checks to servers (attempt.go), discovery updates the endpoint list
// (endpoints.go), and the owner of the shard maps publishes their changes (shard_maps.go).
//
// The event loop is in core.go and its state of open queries in state.go. A query is opened in submit.go, its
// attempts are sent and ended in attempts.go, and it is answered in finish.go. A query on a shard map that can change
// also uses coverage.go, which tracks the keys that were answered, and replan.go, which replaces parts whose shard
// has moved.
package coordinator
