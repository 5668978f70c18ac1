// Package routing decides, for one coordinator, how the queries of its clients are spread over a sharded,
// replicated store: which queries are admitted, which replica gets each part, when a part is retried or
// hedged, and when a query is answered, failed or rejected.
//
// The caller hands a Router the events of one turn and carries out the actions that it returns. The package
// is pure: it reads no clock, does no I/O, starts no goroutine and draws random numbers from its seed alone,
// so that the same settings, seed and turns give the same actions. A Router belongs to one goroutine.
//
// Events are in events.go, actions in actions.go, settings in settings.go. The steps of a turn are in
// router.go; each rule has a file and a type of its own, which owns the rule's state and constants.
// docs/decisions.md lists the rules.
package routing
