// Package discovery follows the endpoint list of the platform's discovery service: a Watcher holds a long poll
// open, renews it as soon as it is answered, and passes each change on to the Core.
//
// wire.go is the only place that knows discovery's protocol; converter.go maps it to the terms of the routing
// package. watcher.go holds the loop, poll.go a single call, timeouts.go its time limits and backoff.
package discovery
