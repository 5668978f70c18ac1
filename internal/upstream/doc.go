// Package upstream implements the client of one league server. A Client manages the connections to that server and the
// attempts and health checks in flight on each, and checks an attempt a last time before it is written.
//
// The package does not choose servers, retry or hedge (package routing does), and does not depend on the wire format: a
// Codec encodes and decodes the messages.
//
// A Client runs one event loop, which owns all of its state. Other goroutines post typed events to it: commands to the
// mailbox, which never blocks the sender, and connection events to a separate channel, whose senders wait while it is
// full. Each connection has one goroutine that reads. While it is dialed, and while a large body is written, it has
// another one for that. All of them end with the client; Wait waits for them.
package upstream
