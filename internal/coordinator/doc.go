// Package coordinator runs the queries of one coordinator process. It hands the routing package what happened, once a
// turn, carries out the actions that routing decides, and gives each query exactly one final answer.
//
// A Core is an event loop: the goroutine that calls Core.Run owns the router and every open query, part, attempt,
// health check and deadline. The package starts no goroutine. Everybody else posts messages to the loop's mailbox,
// which is bounded, or defers them to a queue that never makes its caller wait (mailbox.go). Run ends when its context
// is canceled; it closes Core.stopped then, after which nobody waits for the loop. The mailbox is never closed.
//
// The package knows no wire format. Fronts submit queries (query.go) and take answers (answer.go), Transports carry
// attempts and health checks to servers (attempt.go), discovery updates the endpoint list (endpoints.go), and the owner
// of the shard maps publishes their changes (shard_maps.go).
//
// The turn is in core.go. What the loop knows of open queries is in state.go; a query is opened in submit.go, its
// attempts are sent and ended in attempts.go, and it is answered in finish.go. A query on a shard map that can change
// also goes through coverage.go, which keeps what was answered, and replan.go, which replaces its parts.
package coordinator
