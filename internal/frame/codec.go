package frame

import (
	"bufio"
	"io"

	"linkpass/internal/upstream"
)

const (
	maxConns       = 8       // connections to one server
	readBufferSize = 4 << 10 // bytes, of each connection
)

// Codec implements upstream.Codec for the plain protocol.
type Codec struct {
	MaxStreams  int      // maximum number of parts in flight on a connection; 0 allows none
	ReportNames []string // names of the values in a load report; if empty, health checks request no report
}

// Limits returns the maximum numbers of parts on a connection and of connections to a server.
func (c Codec) Limits() upstream.Limits {
	return upstream.Limits{MaxStreams: c.MaxStreams, MaxConns: maxConns}
}

// EncodeRequest encodes a request with the given parts as one message.
func (Codec) EncodeRequest(parts []upstream.Part) []byte {
	frameParts := make([]Part, len(parts))
	for i, p := range parts {
		frameParts[i] = Part{Name: p.Name, Shard: p.Shard, Timeout: p.Timeout, Payload: p.Payload}
	}
	return AppendRequest(nil, frameParts)
}

// EncodeHeader encodes a request with one part, without its payload of size bytes, which has to follow.
func (Codec) EncodeHeader(p upstream.Part, size int64) []byte {
	return AppendRequestHeader(nil, Part{Name: p.Name, Shard: p.Shard, Timeout: p.Timeout}, size)
}

// EncodeCancel encodes a message that cancels the part with the given name.
func (Codec) EncodeCancel(name string) []byte { return Append(nil, LetterCancel, []byte(name)) }

// EncodeHealthCheck encodes a health check, which has no name in this protocol. It requests a load report if ReportNames
// is not empty.
func (c Codec) EncodeHealthCheck(string) []byte {
	if len(c.ReportNames) == 0 {
		return Append(nil, LetterHealthCheck, nil)
	}
	return Append(nil, LetterLoadCheck, nil)
}

// NewReader returns a reader of the messages that a server sends on one connection.
func (c Codec) NewReader(r io.Reader) upstream.Reader {
	return &messageReader{reportNames: c.ReportNames, buf: bufio.NewReaderSize(r, readBufferSize)}
}
