// Package upstream is the client of one league server. It owns the connections to that server, the attempts and
// health checks in flight on each, and the last checks before an attempt is written.
//
// It does not choose the server, retry or hedge (package routing does), and does not know how messages look on the
// wire: a Codec encodes and decodes them.
//
// A Client runs one event loop, which owns all of its state. Others post typed events to it: commands to the
// mailbox, which never blocks the sender, and what happens on connections to a channel of its own, whose senders
// wait. Each connection has one goroutine that reads and, for a while each, one that dials and one that writes a
// large body. They all end with the client; Wait waits for them.
package upstream
