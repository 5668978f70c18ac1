// Package http1 implements HTTP/1.1 on top of net and net/textproto: reading and writing messages with bounded headers
// and bodies, and a server that supports keep-alive, limits the number of connections and can be drained.
//
// A Reader reads messages (reader.go, body.go, chunked_body.go, body_sink.go); writer.go writes them. A Server accepts
// connections (server.go), evicts idle or stalled ones if there are too many (eviction.go), and drains them (drain.go).
// Each connection has its own goroutine (conn.go), and lingers before it is closed (linger.go). All time limits are in
// timeouts.go.
package http1
