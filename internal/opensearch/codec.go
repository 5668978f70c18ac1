package opensearch

import (
	"io"

	"linkpass/internal/http1"
	"linkpass/internal/upstream"
)

// Codec is the protocol of servers that speak OpenSearch: each part is a search of one shard, on a connection
// that carries one part at a time.
type Codec struct {
	ReportNames []string // names of a load report's values, in the order of upstream.Message.LoadReport
}

// Headers between the coordinator and a server, beside OpenSearch's own. A part of an index with a shard map
// carries the map's version and the key range that it covers. A server that no longer has the shard responds
// 409 with its own version, without having run the search; another response says which keys it covers.
const (
	headerMapVersion   = "X-Layout-Version"
	headerKeyRange     = "X-Layout-Range"
	headerCoveredRange = "X-Layout-Covers"
	headerLoadReport   = "X-Server-Load"
	headerPartName     = "X-Opaque-Id"
)

const (
	maxConnsPerServer = 16        // each takes a file descriptor
	maxResponseBytes  = 256 << 10 // of one part: the responses of all parts in flight have to fit in memory
	hostHeader        = "league-server"
)

// Limits is one part a connection.
func (Codec) Limits() upstream.Limits {
	return upstream.Limits{MaxStreams: 1, MaxConns: maxConnsPerServer, Exclusive: true, Subranges: true}
}

// NewReader reads the responses of one connection.
func (c Codec) NewReader(r io.Reader) upstream.Reader {
	return &responseReader{c, http1.NewReader(r, maxResponseBytes)}
}
