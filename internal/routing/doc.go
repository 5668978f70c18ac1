// Package routing makes the routing decisions of one coordinator in front of a sharded, replicated store:
// which queries are admitted, which replica gets each part, when a part is retried or hedged, and when a
// query is answered, failed or rejected.
//
// A turn is one step of the coordinator's event loop. The caller passes the events of the turn to a Router
// and carries out the actions that the Router returns. The package is deterministic: it reads no clock, does
// no I/O, starts no goroutine and takes all random numbers from a seeded generator, so the same settings,
// seed and turns give the same actions. A Router is not safe for concurrent use.
//
// All clock times are a time.Duration since a common origin that the caller chooses.
//
// Events are in events.go, actions in actions.go, settings in settings.go. The steps of a turn are in
// router.go. Each rule has its own file and type, which holds the rule's state and constants.
// docs/decisions.md lists the rules.
package routing
