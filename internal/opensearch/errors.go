package opensearch

import (
	"encoding/json"
	"net/textproto"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/outcome"
)

// apiError is OpenSearch's error object.
type apiError struct {
	RootCause    []apiError     `json:"root_cause,omitempty"`
	Type         string         `json:"type"`
	Reason       string         `json:"reason"`
	Phase        string         `json:"phase,omitempty"`
	Grouped      bool           `json:"grouped,omitempty"`
	FailedShards []shardFailure `json:"failed_shards,omitempty"`
	Index        string         `json:"index,omitempty"`
	Status       int            `json:"-"`
}

// Error is the reason.
func (c *apiError) Error() string { return c.Type + ": " + c.Reason }

// shardFailure is one slice that gave nothing.
type shardFailure struct {
	Shard  int      `json:"shard"`
	Index  string   `json:"index"`
	Reason apiError `json:"reason"`
	// Of a layout that can move: the keys that are missing, and the version they were asked on.
	KeyRange   string `json:"range,omitempty"`
	MapVersion uint64 `json:"layout_version,omitempty"`
}

func badRequest(kind, reason string) *apiError {
	return &apiError{Type: kind, Reason: reason, Status: 400}
}

// errorBody is the body of an answer that is an error. Took, timed_out and the
// counts are there where a search was begun.
type errorBody struct {
	Error    apiError     `json:"error"`
	Status   int          `json:"status"`
	Took     *int64       `json:"took,omitempty"`
	TimedOut *bool        `json:"timed_out,omitempty"`
	Shards   *shardCounts `json:"_shards,omitempty"`
}

func errorResponse(c *apiError) *http1.Response { return searchError(c, nil, nil, nil) }

func searchError(c *apiError, took *int64, timedOut *bool, counts *shardCounts) *http1.Response {
	out := *c
	if out.RootCause == nil {
		out.RootCause = []apiError{{Type: c.Type, Reason: c.Reason, Index: c.Index}}
	}
	return jsonResponse(c.Status, errorBody{Error: out, Status: c.Status, Took: took, TimedOut: timedOut, Shards: counts})
}

func jsonResponse(status int, v any) *http1.Response {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = 500, []byte(`{"error":{"type":"exception","reason":"the answer could not be encoded"},"status":500}`)
	}
	return &http1.Response{Status: status, Body: data,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json; charset=UTF-8"}}}
}

// missingReason words how a slice's latest attempt ended.
func missingReason(m coordinator.MissingPart) apiError {
	e, bare := m.LastOutcome, ""
	if m.BodyEvicted {
		bare = "; its body is not kept any more, so it was not sent again"
	}
	if !m.Attempted {
		return apiError{Type: "no_shard_available_action_exception", Reason: "no league server was tried" + bare}
	}
	kind := "remote_transport_exception"
	switch e {
	case outcome.Rejected, outcome.QueueFull:
		kind = "rejected_execution_exception"
	case outcome.DialRefused, outcome.DialTimeout, outcome.DialFailed, outcome.WriteInterrupted:
		kind = "connect_transport_exception"
	case outcome.ConnReset, outcome.ConnClosed:
		kind = "node_disconnected_exception"
	case outcome.Timeout:
		kind = "receive_timeout_transport_exception"
	case outcome.ShardMoved, outcome.UnknownShardMap, outcome.PartialCoverage:
		kind = "illegal_index_shard_state_exception"
	case outcome.Canceled, outcome.NotSent, outcome.BodyEvicted:
		kind = "task_cancelled_exception"
	}
	return apiError{Type: kind, Reason: "the latest attempt ended as " + e.String() + bare}
}
