package http1

import "net/textproto"

// Limits on what is read, in bytes.
const (
	MaxHeader = 16 << 10 // of a start line, and of the header fields
	MaxBody   = 64 << 10 // where NewReader is given no other limit
)

// Request is one request.
type Request struct {
	Method, Path, Query string
	Header              textproto.MIMEHeader
	Body                []byte
	BodySink            BodySink // of a large body, in place of Body; nil: there is none
	Close               bool     // the sender wants the connection closed
}

// Response is one response.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // it is the last of its connection
}

// BodySink receives a large body while it arrives.
type BodySink interface {
	// Write receives the next bytes, and must not keep p. An error that is an *Error is sent to the client.
	Write(p []byte) (int, error)
	// Abort discards what was written, unless a handler has made use of it.
	Abort()
}
