package upstream

import (
	"io"
	"time"

	"linkpass/internal/coordinator"
	"linkpass/internal/outcome"
	"linkpass/internal/shardmap"
)

// Part is one part of a request that is about to be written.
type Part struct {
	Name       string // unique on a connection: the name of the query, a dot, the number of the shard
	Collection string
	Shard      int
	Timeout    time.Duration // time left until the deadline of the part
	Payload    []byte
	Request    *coordinator.ShardRequest // nil: the shard map is fixed
}

// Message is one message from a server.
type Message struct {
	// HealthCheck is true if the message is the reply to a health check. In a protocol with exclusive connections, it
	// is true if the message cannot be the reply to a part.
	HealthCheck bool
	// Name is the name of the part or health check that the message replies to. It is empty if the protocol has no names
	// for health checks, or, in one with exclusive connections, if the server did not repeat the name.
	Name            string
	Outcome         outcome.Outcome
	LoadReport      []float64 // in the order of the configured fields; nil: none
	Value           []byte
	Score           float64
	Hits            *coordinator.Hits
	ShardMapVersion uint64          // version of the server's shard map; 0: not given
	Covers          *shardmap.Range // range of keys that the value covers; nil: not given
	ConnCloses      bool            // the server closes the connection after this message
}

// Limits describes what a protocol allows on the connections to one server.
type Limits struct {
	MaxStreams int  // maximum number of parts in flight on a connection
	MaxConns   int  // maximum number of connections to a server
	Exclusive  bool // a connection has one part or health check in flight, which is canceled by closing it
	Subranges  bool // a part may request a subset of the keys of a shard
}

// Codec encodes and decodes the messages of a protocol between coordinators and league servers. Its methods may be
// called concurrently.
type Codec interface {
	Limits() Limits
	// EncodeRequest encodes a request with at least one part.
	EncodeRequest([]Part) []byte
	// EncodeHeader encodes a request with one part, without its body of size bytes, which ends the message. It returns
	// nil if the protocol needs the body in Part.Payload.
	EncodeHeader(part Part, size int64) []byte
	// EncodeCancel encodes the cancellation of the part with that name. It is not called if Limits.Exclusive is set.
	EncodeCancel(name string) []byte
	// EncodeHealthCheck encodes a health check with a name that no part has.
	EncodeHealthCheck(name string) []byte
	NewReader(io.Reader) Reader
}

// Reader reads the messages of one connection. Only the goroutine that reads from the connection uses it.
type Reader interface {
	// Wait blocks until the first byte of a message can be read, or returns the error of the connection.
	Wait() error
	// Next reads a message. If it returns an error, the outcome is that of everything in flight on the connection;
	// otherwise the outcome has no meaning.
	Next() (Message, outcome.Outcome, error)
}
