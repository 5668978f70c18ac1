// Package simwire translates between the simulator's binary protocol and the events and actions of package routing. It
// makes no decisions. The simulator sends batches of events, and each batch gets a reply with actions. A batch and a
// reply consist of a header, records of fixed size, and a tail. Data of variable size is in the tail; records refer
// to it by offset and length. All numbers are little-endian. Only protocol.go defines the protocol's record numbers
// and names.
//
// Each Decoder and each Encoder is used by one goroutine. The package starts no goroutines and has no channels.
package simwire
