package opensearch

import (
	"io"

	"linkpass/internal/http1"
	"linkpass/internal/upstream"
)

// Codec is the protocol of servers that speak OpenSearch: each part is sent as a search of one shard, and a
// connection carries one part at a time.
type Codec struct {
	// ReportNames are the names of a load report's values, in the order of upstream.Message.LoadReport.
	ReportNames []string
}

// Headers between the coordinator and a server, in addition to OpenSearch's own. A part of an index with a shard
// map carries the map's version and the key range that the part covers. A server that no longer has the shard
// responds 409 with the map version that it has, without having run the search; any other response says which
// keys it covers.
const (
	headerMapVersion   = "X-Layout-Version"
	headerKeyRange     = "X-Layout-Range"
	headerCoveredRange = "X-Layout-Covers"
	headerLoadReport   = "X-Server-Load"
	headerPartName     = "X-Opaque-Id"
)

const (
	maxConnsPerServer = 16        // each connection takes a file descriptor
	maxResponseBytes  = 256 << 10 // of one part: the responses to all parts in flight have to fit in memory
	hostValue         = "league-server"
)

// Limits returns the limits of the protocol, which allow one part at a time on each connection.
func (Codec) Limits() upstream.Limits {
	return upstream.Limits{MaxStreams: 1, MaxConns: maxConnsPerServer, Exclusive: true, Subranges: true}
}

// NewReader returns a reader of the responses on one connection.
func (c Codec) NewReader(r io.Reader) upstream.Reader {
	return &responseReader{c, http1.NewReader(r, maxResponseBytes)}
}
