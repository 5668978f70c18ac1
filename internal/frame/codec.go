package frame

import (
	"bufio"
	"io"

	"linkpass/internal/upstream"
)

const (
	maxConns       = 8       // to a server
	readBufferSize = 4 << 10 // bytes
)

// Codec is the plain protocol as an upstream.Codec.
type Codec struct {
	MaxStreams  int      // parts in flight on a connection
	ReportNames []string // names of the values of a load report; none: health checks request no report
}

// Limits is how much can be in flight.
func (c Codec) Limits() upstream.Limits {
	return upstream.Limits{MaxStreams: c.MaxStreams, MaxConns: maxConns}
}

// EncodeRequest encodes a request.
func (Codec) EncodeRequest(parts []upstream.Part) []byte {
	list := make([]Part, len(parts))
	for i, p := range parts {
		list[i] = Part{Name: p.Name, Shard: p.Shard, Timeout: p.Timeout, Payload: p.Payload}
	}
	return AppendRequest(nil, list)
}

// EncodeHeader encodes a request of one part up to its payload of size bytes.
func (Codec) EncodeHeader(p upstream.Part, size int64) []byte {
	return AppendRequestHeader(nil, Part{Name: p.Name, Shard: p.Shard, Timeout: p.Timeout}, size)
}

// EncodeCancel encodes the cancellation of a part.
func (Codec) EncodeCancel(name string) []byte { return Append(nil, LetterCancel, []byte(name)) }

// EncodeHealthCheck encodes a health check, which requests a load report where values are configured.
func (c Codec) EncodeHealthCheck() []byte {
	if len(c.ReportNames) == 0 {
		return Append(nil, LetterHealthCheck, nil)
	}
	return Append(nil, LetterLoadCheck, nil)
}

// NewReader makes a reader of the messages of a server.
func (c Codec) NewReader(r io.Reader) upstream.Reader {
	return &messageReader{reportNames: c.ReportNames, buf: bufio.NewReaderSize(r, readBufferSize)}
}
