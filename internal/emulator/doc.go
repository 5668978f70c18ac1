// Package emulator emulates league servers and their discovery on the loopback, for experiments
// and for trying the program by hand. Servers hold ranges of records, copy them from each other
// and fail on request; random choices come from a seed.
//
// A Fleet owns its Discovery and its Servers; Fleet.Close ends them. Each Server owns the goroutines
// of its listener, connections and copies from Start to Kill: Kill closes the listener, resets the
// connections and cancels the context that all waits observe. Kill returns without waiting for them.
package emulator
