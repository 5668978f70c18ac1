package opensearch

import (
	"encoding/json"
	"net/textproto"

	"linkpass/internal/http1"
)

// searchResponse is the body of a response to a search.
type searchResponse struct {
	Took     int64       `json:"took"` // milliseconds
	TimedOut bool        `json:"timed_out"`
	Shards   shardCounts `json:"_shards"`
	Hits     searchHits  `json:"hits"`
}

// shardCounts says how many shards, or key ranges, of a search have a result. Failures lists those without a result.
type shardCounts struct {
	Total      int            `json:"total"`
	Successful int            `json:"successful"`
	Skipped    int            `json:"skipped"`
	Failed     int            `json:"failed"`
	Failures   []shardFailure `json:"failures,omitempty"`
}

type searchHits struct {
	Total    total       `json:"total"`
	MaxScore *float64    `json:"max_score"`
	Hits     []searchHit `json:"hits"`
}

// total is the number of hits: the exact number (relation "eq") or a lower bound ("gte").
type total struct {
	Value    int64  `json:"value"`
	Relation string `json:"relation"`
}

type searchHit struct {
	Index  string          `json:"_index"`
	ID     string          `json:"_id"`
	Score  *float64        `json:"_score"`
	Source json.RawMessage `json:"_source,omitempty"`
}

// errorBody is the body of an error response. Took, TimedOut and Shards are set only if a search was started.
type errorBody struct {
	Error    apiError     `json:"error"`
	Status   int          `json:"status"`
	Took     *int64       `json:"took,omitempty"` // milliseconds
	TimedOut *bool        `json:"timed_out,omitempty"`
	Shards   *shardCounts `json:"_shards,omitempty"`
}

// errorResponse returns the response to a request that failed before a search was started.
func errorResponse(e *apiError) *http1.Response { return searchErrorResponse(e, nil, nil, nil) }

// searchErrorResponse returns the response to a search that was started and failed. took is in milliseconds.
func searchErrorResponse(e *apiError, took *int64, timedOut *bool, counts *shardCounts) *http1.Response {
	out := *e
	if out.RootCause == nil {
		out.RootCause = []apiError{{Type: e.Type, Reason: e.Reason, Index: e.Index}}
	}
	return jsonResponse(e.Status, errorBody{
		Error:    out,
		Status:   e.Status,
		Took:     took,
		TimedOut: timedOut,
		Shards:   counts,
	})
}

// jsonResponse returns a response with v as its body, or with status 500 if v can't be encoded.
func jsonResponse(status int, v any) *http1.Response {
	data, err := json.Marshal(v)
	if err != nil {
		status = 500
		data = []byte(`{"error":{"type":"exception","reason":"the answer could not be encoded"},"status":500}`)
	}
	return &http1.Response{
		Status: status,
		Body:   data,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json; charset=UTF-8"}},
	}
}
