package http1

import "net/textproto"

// Size limits of the messages that are read, in bytes.
const (
	MaxHeader      = 16 << 10 // of the start line and the header fields together
	DefaultMaxBody = 64 << 10 // default limit of a body, used if NewReader is given none
)

// Request is an HTTP request. Query is the part of the request target after the question mark.
type Request struct {
	Method, Path, Query string
	Header              textproto.MIMEHeader
	Body                []byte
	BodySink            BodySink // holds a large body instead of Body; nil if the body is in Body
	Close               bool     // the client expects the connection to be closed after the response
}

// Response is an HTTP response.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // the connection is closed after this response
}

// BodySink receives the bytes of a large request body as they arrive.
type BodySink interface {
	// Write receives the next bytes of the body, and must not retain p. If it returns an *Error, the server answers the
	// request with it.
	Write(p []byte) (int, error)
	// Abort discards what was written, unless a handler has already used it.
	Abort()
}
