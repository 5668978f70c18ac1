// Package dashboard serves a web page about a coordinator: its state, the league servers, shards, open plans, and the
// rates of final responses by query class over the last minutes. It is read-only.
//
// Serve owns the goroutine that samples the source. When the context has ended, Serve waits for that goroutine. If the
// listener fails earlier, Serve returns at once, and the goroutine ends with the context.
package dashboard
