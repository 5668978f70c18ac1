package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"linkpass/internal/reshardexec"
	"linkpass/internal/shardmap"
)

// Headers of a search. The protocol says layout for the shard map.
const (
	headerShardMapVersion = "X-Layout-Version" // of the shard map that the server follows
	headerRange           = "X-Layout-Range"   // requested keys
	headerCoveredRange    = "X-Layout-Covers"  // keys that the answer is complete for
	headerLoadReport      = "X-Server-Load"
)

// Routes of a server and of discovery. The protocol says layout for a shard assignment, and
// registry instances for the endpoint list.
const (
	routeHealthCheck  = "GET /{$}"
	routeSearch       = "POST /{index}/_search"
	routeAssignment   = "PUT " + reshardexec.AssignmentsPath
	routeRecords      = "GET " + pathRecords
	pathRecords       = "/_layout/records"
	pathEndpointList  = "/registry/instances"
	paramAfterVersion = "after"
	paramWaitMS       = "wait_ms"
)

// Parameters of a request for a page of a shard's records. The protocol says slice for a shard.
const (
	paramIndex = "index"
	paramShard = "slice"
	paramRange = "range"
	paramFrom  = "from"
)

const (
	maxRequestBytes  = 64 << 20
	maxWatchWaitMS   = 60_000
	preferenceShards = "_shards:"
)

// Texts of failures. The protocol says slice for a shard and duties for assignments.
const (
	malformedPartText       = `{"error":"a part needs a slice and a range"}`
	malformedAssignmentText = "duties"
	malformedRecordsText    = "which records"
	recordsNotHeldText      = "not held"
	malformedCallText       = "a call that cannot be read"
)

// healthyStatus answers a health check in a frame.
const healthyStatus = "200"

// partRequest is a search of one range in one shard.
type partRequest struct {
	index string
	shard shardmap.ShardID
	keys  shardmap.Range
}

// parsePartRequest reads a search; it is false without a shard or a range.
func parsePartRequest(r *http.Request) (partRequest, bool) {
	id, err := strconv.ParseUint(strings.TrimPrefix(r.URL.Query().Get("preference"), preferenceShards), 10, 64)
	keys, rangeErr := shardmap.ParseRange(r.Header.Get(headerRange))
	if err != nil || rangeErr != nil {
		return partRequest{}, false
	}
	return partRequest{index: r.PathValue("index"), shard: shardmap.ShardID(id), keys: keys}, true
}

type searchHit struct {
	ID    string  `json:"_id"`
	Score float64 `json:"_score"`
}

// encodeSearchResponse writes records as the hits of one shard, with scores from 0 to 1 by key.
func encodeSearchResponse(w io.Writer, records []Record) {
	hits := make([]searchHit, len(records))
	for i, record := range records {
		hits[i] = searchHit{record.ID, float64(record.Key>>40) / (1 << 24)}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"took": 1, "timed_out": false,
		"_shards": map[string]int{"total": 1, "successful": 1, "failed": 0},
		"hits":    map[string]any{"total": map[string]any{"value": len(hits), "relation": "eq"}, "hits": hits},
	})
}

func decodeAssignmentRequest(r io.Reader) (request reshardexec.AssignmentRequest, err error) {
	err = json.NewDecoder(io.LimitReader(r, maxRequestBytes)).Decode(&request)
	return request, err
}

// recordsPage is a page of a shard's records.
type recordsPage struct {
	IDs  []string `json:"ids"`
	Next int      `json:"next"` // offset of the next page; 0: this is the last one
}

// recordsRequest asks for a page of a shard's records.
type recordsRequest struct {
	index string
	shard shardmap.ShardID
	keys  shardmap.Range
	from  int // offset of the page's first record
}

func (q recordsRequest) query() string {
	return url.Values{
		paramIndex: {q.index},
		paramShard: {strconv.FormatUint(uint64(q.shard), 10)},
		paramRange: {q.keys.String()},
		paramFrom:  {strconv.Itoa(q.from)},
	}.Encode()
}

// parseRecordsRequest reads the query; it is false without a range or an offset. A shard that cannot
// be read is 0.
func parseRecordsRequest(values url.Values) (recordsRequest, bool) {
	id, _ := strconv.ParseUint(values.Get(paramShard), 10, 64)
	keys, err := shardmap.ParseRange(values.Get(paramRange))
	from, fromErr := strconv.Atoi(values.Get(paramFrom))
	if err != nil || fromErr != nil || from < 0 {
		return recordsRequest{}, false
	}
	return recordsRequest{index: values.Get(paramIndex), shard: shardmap.ShardID(id), keys: keys, from: from}, true
}

// formatLoadReport words a load report: parts at work, mean work of a part in milliseconds, parts in the queue.
func formatLoadReport(active int64, averageMS float64, queued int64) string {
	return fmt.Sprintf("active=%d,avg_ms=%.1f,waiting=%d", active, averageMS, queued)
}

// framePart is one part of a call.
type framePart struct {
	name  string // by which the client knows the part
	shard int
}

// parseFramePart reads the first part of a call: a line of its name, shard, deadline in milliseconds and body
// size in bytes, then the body. Size is that of line and body together.
func parseFramePart(payload string) (part framePart, size int, ok bool) {
	var deadlineMS, bodySize int
	line, body, _ := strings.Cut(payload, "\n")
	_, err := fmt.Sscanf(line, "%s %d d=%d %d", &part.name, &part.shard, &deadlineMS, &bodySize)
	if err != nil || bodySize > len(body) {
		return part, 0, false
	}
	return part, len(line) + 1 + bodySize, true
}

// formatFrameAnswer words the answer to a part: its name, status, shard and load report, then the value.
func formatFrameAnswer(part framePart, loadReport, server string) string {
	return fmt.Sprintf("%s 200 %d %s\nslice %d by %s", part.name, part.shard, loadReport, part.shard, server)
}

// formatFrameRejection words the rejection of a part that got no core.
func formatFrameRejection(part framePart, loadReport string) string {
	return fmt.Sprintf("%s 503 0 %s\n", part.name, loadReport)
}
