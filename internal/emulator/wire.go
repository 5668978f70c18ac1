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

// Headers of a search. The protocol calls the shard map the layout.
const (
	headerShardMapVersion = "X-Layout-Version" // of the shard map that the server follows
	headerRange           = "X-Layout-Range"   // requested range of keys
	headerCoveredRange    = "X-Layout-Covers"  // range of keys for which the answer is complete
	headerLoadReport      = "X-Server-Load"
	headerRequestName     = "X-Opaque-Id" // repeated in the response, as OpenSearch does
)

// Routes of a server and of discovery. The protocol calls the shard assignment the layout, and the endpoint list the
// registry's instances.
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

// Parameters of a request for a page of a shard's records. The protocol calls a shard a slice.
const (
	paramIndex = "index"
	paramShard = "slice"
	paramRange = "range"
	paramFrom  = "from"
)

const (
	maxRequestBytes  = 64 << 20   // bytes of a request body that are read
	maxWatchWaitMS   = 60_000     // longest wait of a watch, in milliseconds
	preferenceShards = "_shards:" // before the shard in the preference parameter of a search
)

// Bodies of error responses and payloads of error frames. The protocol calls a shard a slice, and assignments duties.
const (
	malformedPartText         = `{"error":"a part needs a slice and a range"}`
	malformedAssignmentText   = "duties"
	malformedRecordsText      = "which records"
	recordsNotHeldText        = "not held"
	malformedRequestFrameText = "a call that cannot be read"
)

// healthyStatus is the payload of the reply to a health check in a frame.
const healthyStatus = "200"

// partRequest is a search of one range in one shard.
type partRequest struct {
	index string
	shard shardmap.ShardID
	keys  shardmap.Range
}

// parsePartRequest parses a search. It returns false if the shard or the range is missing or malformed.
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

// encodeSearchResponse writes records as the hits of one shard. A hit's score is the record's key, scaled to the range
// from 0 to 1.
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
	Next int      `json:"next"` // offset of the next page; 0 in the last page
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

// parseRecordsRequest parses the query. It returns false if the range or the offset is missing or malformed. A missing
// or malformed shard becomes 0.
func parseRecordsRequest(values url.Values) (recordsRequest, bool) {
	id, _ := strconv.ParseUint(values.Get(paramShard), 10, 64)
	keys, err := shardmap.ParseRange(values.Get(paramRange))
	from, fromErr := strconv.Atoi(values.Get(paramFrom))
	if err != nil || fromErr != nil || from < 0 {
		return recordsRequest{}, false
	}
	return recordsRequest{index: values.Get(paramIndex), shard: shardmap.ShardID(id), keys: keys, from: from}, true
}

// formatLoadReport formats a load report: parts being processed, mean work of a part in milliseconds, and parts in the
// queue.
func formatLoadReport(active int64, averageMS float64, queued int64) string {
	return fmt.Sprintf("active=%d,avg_ms=%.1f,waiting=%d", active, averageMS, queued)
}

// framePart is one part of a request frame.
type framePart struct {
	name  string // chosen by the client, to match the reply to the part
	shard int
}

// parseFramePart parses the first part of a request frame: a line of its name, shard, deadline in milliseconds and body
// size in bytes, then the body. It returns the size of line and body together, and false for a malformed part.
func parseFramePart(payload string) (part framePart, size int, ok bool) {
	var deadlineMS, bodySize int
	line, body, _ := strings.Cut(payload, "\n")
	_, err := fmt.Sscanf(line, "%s %d d=%d %d", &part.name, &part.shard, &deadlineMS, &bodySize)
	if err != nil || bodySize > len(body) {
		return part, 0, false
	}
	return part, len(line) + 1 + bodySize, true
}

// formatFrameAnswer formats the answer to a part: its name, status, shard and load report, then a text as its value.
func formatFrameAnswer(part framePart, loadReport, server string) string {
	return fmt.Sprintf("%s 200 %d %s\nslice %d by %s", part.name, part.shard, loadReport, part.shard, server)
}

// formatFrameRejection formats the rejection of a part that got no core or whose work was ended by a kill.
func formatFrameRejection(part framePart, loadReport string) string {
	return fmt.Sprintf("%s 503 0 %s\n", part.name, loadReport)
}
