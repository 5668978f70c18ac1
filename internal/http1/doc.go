// Package http1 is HTTP/1.1 on net/textproto over net: messages with bounded headers and bodies, sized or chunked,
// and a server that keeps connections alive, bounds their number and drains them.
//
// A Reader reads messages (reader.go, body.go, chunked_body.go, body_sink.go), writer.go writes them. A Server admits
// connections (server.go), evicts those that can best be spared (eviction.go) and drains them (drain.go). Each
// connection has one goroutine of its own (conn.go), and lingers before it is closed (linger.go). All time limits
// are in timeouts.go.
package http1
