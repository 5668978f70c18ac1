package http1

import (
	"net/textproto"
	"time"

	"linkpass/internal/fairqueue"
	"linkpass/internal/membudget"
)

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

	// Of the connection that a Server has read the request from; nil otherwise.
	flow    *fairqueue.Flow
	account *membudget.Account
}

// parseCost is what a byte of a head or a body is expected to cost.
const parseCost = 15 * time.Nanosecond

// Work calls f, which must not block, in the next turn of the request's connection. A handler does in it what takes
// processor time in proportion to the request or the response.
func (r *Request) Work(f func()) { r.flow.Do(time.Duration(len(r.Body))*parseCost, f) }

// Charge adds a cost to the request's connection, for work that is done for it elsewhere. The connection's next turn
// comes later by as much.
func (r *Request) Charge(cost time.Duration) { r.flow.Charge(cost) }

// Measure calls f at once, and charges the processor time that it takes to the request's connection. Unlike in Work, f may
// block.
func (r *Request) Measure(f func()) { r.flow.Measure(f) }

// Hold adds bytes that are kept until the response is written, such as values that it is made of, to what the
// connection holds.
func (r *Request) Hold(bytes int64) { r.account.Force(bytes) }

// ReleaseBody drops the body, whose content is now kept elsewhere or is not needed any more.
func (r *Request) ReleaseBody() {
	r.Body = nil
	r.account.Reset()
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
