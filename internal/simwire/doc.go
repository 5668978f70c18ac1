// Package simwire translates between the simulator's binary batches and the events and actions of package routing. It
// decides nothing. All numbers are little-endian; a batch and a reply are a header, records of fixed size and a tail that
// records point into. The protocol's record numbers and names are known in protocol.go alone.
//
// A Decoder and an Encoder belong to one goroutine each; the package starts none and has no channel.
package simwire
