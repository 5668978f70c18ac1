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
	Name       string // unique on a connection: the query's name, a dot, the shard
	Collection string
	Shard      int
	Timeout    time.Duration // left for the part
	Payload    []byte
	Request    *coordinator.ShardRequest // nil: the shard layout is fixed
}

// Message is one message of a server.
type Message struct {
	// HealthCheck says that the message answers a health check. Under a protocol with exclusive connections it
	// is set where the message cannot answer a part.
	HealthCheck     bool
	Name            string // of the part that it answers; empty under a protocol with exclusive connections
	Outcome         outcome.Outcome
	LoadReport      []float64 // in the order of the configured fields; nil: none
	Value           []byte
	Score           float64
	Hits            *coordinator.Hits
	ShardMapVersion uint64          // the version that the server has; 0: not given
	Covers          *shardmap.Range // the keys that the value is about; nil: not given
	ConnCloses      bool            // the server closes the connection after this message
}

// Limits is how much a protocol can have in flight.
type Limits struct {
	MaxStreams int  // parts in flight on a connection
	MaxConns   int  // connections to a server
	Exclusive  bool // a connection has one part or health check in flight, which is canceled by closing it
	Subranges  bool // a part may request some keys of a shard
}

// Codec is a protocol between coordinators and league servers. Its methods may be called concurrently.
type Codec interface {
	Limits() Limits
	// EncodeRequest encodes a request with at least one part.
	EncodeRequest([]Part) []byte
	// EncodeHeader encodes the part up to its body of size bytes, which ends the message. It returns nil where
	// the protocol needs the body in Part.Payload.
	EncodeHeader(part Part, size int64) []byte
	// EncodeCancel encodes the cancellation of the part with that name. Codecs with exclusive connections are
	// not asked for it.
	EncodeCancel(name string) []byte
	EncodeHealthCheck() []byte
	NewReader(io.Reader) Reader
}

// Reader reads the messages of one connection. It belongs to that connection's reading goroutine.
type Reader interface {
	// Wait returns once the first byte of a message can be read, or with the error of the connection.
	Wait() error
	// Next reads a message. With an error comes the outcome of what is in flight on the connection.
	Next() (Message, outcome.Outcome, error)
}
