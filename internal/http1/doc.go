// Package http1 implements HTTP/1.1 on top of net and net/textproto: reading and writing messages with bounded headers
// and bodies, and a server that supports keep-alive, limits the number of connections and can be drained.
//
// A Reader reads messages (reader.go, request_head.go, body.go, chunked_body.go, body_sink.go); writer.go writes them. A
// Server accepts connections (server.go) at a bounded pace (accept_pace.go), evicts idle or stalled ones if there are too
// many (eviction.go), and drains them (drain.go). Each connection has its own goroutine (conn.go), reads on while a request
// is served to see whether its client is still there (readahead.go), and lingers before it is closed (linger.go). What it
// holds is paid by its memory account (request_memory.go), and its work is done in its turns. All time limits are in
// timeouts.go, the reasons for rejections and closes in close_reason.go.
package http1
