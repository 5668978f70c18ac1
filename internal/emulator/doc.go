// Package emulator emulates league servers and their discovery on the loopback interface, for experiments
// and for trying the program by hand. Servers hold shards of records, copy them from each other and simulate
// faults on request. Random choices depend on a seed.
//
// A Fleet owns its Discovery and its Servers; Fleet.Close ends them. Each Server owns the goroutines
// of its listener, connections and copies from Start to Kill. Kill closes the listener, resets the
// connections and cancels the context that all waits observe. It returns without waiting for the goroutines.
package emulator
