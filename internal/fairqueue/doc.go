// Package fairqueue divides the processor time that clients' connections may use in equal parts among them.
//
// A Scheduler grants turns to Flows, one flow for each connection. At most as many turns as the scheduler has slots run
// at a time. If flows wait, the turn goes to the one with the smallest expected finish tag (fair queueing): a flow that
// used little of its share comes before one that always has more work, and a short turn before a long one. After every burst of turns the scheduler rests, so
// that the runtime polls the network and runs the program's other goroutines.
//
// The package owns neither connections nor goroutines; a rest ends on a timer of the runtime.
package fairqueue
