// Package frame implements the plain protocol between coordinators and league servers, which multiplexes many parts on
// one connection.
//
// A message is one frame: a length of four bytes in little-endian order, a letter that gives the type of the message,
// and the content. The length counts the letter and the content. The letters and reply codes of the protocol are
// defined in this package alone; Codec maps them to the types of package upstream.
package frame
