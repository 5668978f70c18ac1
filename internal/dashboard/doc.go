// Package dashboard serves a page that shows a coordinator in a browser: its state, the fleet, shards, open plans, and
// the final responses by class over the last minutes. It only reads.
//
// Serve owns the goroutine that samples the source, and waits for it when the context has ended; if the listener fails
// before that, the goroutine ends with the context.
package dashboard
