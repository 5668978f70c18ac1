// Package discovery follows the endpoint list of the platform's discovery service: a Watcher keeps a long poll
// open, starts the next one as soon as it is answered, and passes each change on to the Core.
//
// Only wire.go knows discovery's protocol; converter.go converts its values to those of the routing package.
// watcher.go has the watch loop, poll.go a single call, timeouts.go the time limits of a call and the backoff.
package discovery
