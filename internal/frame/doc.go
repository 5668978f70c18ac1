// Package frame is the plain protocol between coordinators and league servers, in which many parts share a connection.
//
// A message is a frame: four bytes of length, least significant first, then one letter and the rest, which the length
// counts. The letters and codes of the protocol are known here alone; Codec maps them to the terms of package upstream.
package frame
