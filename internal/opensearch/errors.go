package opensearch

import (
	"encoding/json"
	"net/textproto"

	"linkpass/internal/coordinator"
	"linkpass/internal/http1"
	"linkpass/internal/outcome"
)

// cause is OpenSearch's error object.
type cause struct {
	RootCause    []cause   `json:"root_cause,omitempty"`
	Type         string    `json:"type"`
	Reason       string    `json:"reason"`
	Phase        string    `json:"phase,omitempty"`
	Grouped      bool      `json:"grouped,omitempty"`
	FailedShards []failure `json:"failed_shards,omitempty"`
	Index        string    `json:"index,omitempty"`
	Status       int       `json:"-"`
}

// Error is the reason.
func (c *cause) Error() string { return c.Type + ": " + c.Reason }

// failure is one slice that gave nothing.
type failure struct {
	Shard  int    `json:"shard"`
	Index  string `json:"index"`
	Reason cause  `json:"reason"`
	// Of a layout that can move: the keys that are missing, and the version they were asked on.
	Range   string `json:"range,omitempty"`
	Version uint64 `json:"layout_version,omitempty"`
}

func badRequest(kind, reason string) *cause { return &cause{Type: kind, Reason: reason, Status: 400} }

// errorBody is the body of an answer that is an error. Took, timed_out and the
// counts are there where a search was begun.
type errorBody struct {
	Error    cause   `json:"error"`
	Status   int     `json:"status"`
	Took     *int64  `json:"took,omitempty"`
	TimedOut *bool   `json:"timed_out,omitempty"`
	Shards   *shards `json:"_shards,omitempty"`
}

func errorResponse(c *cause) *http1.Response { return begunError(c, nil, nil, nil) }

func begunError(c *cause, took *int64, timedOut *bool, counts *shards) *http1.Response {
	out := *c
	if out.RootCause == nil {
		out.RootCause = []cause{{Type: c.Type, Reason: c.Reason, Index: c.Index}}
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

// reasonOf words how a slice's latest attempt ended.
func reasonOf(m coordinator.MissingPart) cause {
	e, bare := m.LastOutcome, ""
	if m.BodyEvicted {
		bare = "; its body is not kept any more, so it was not sent again"
	}
	if !m.Attempted {
		return cause{Type: "no_shard_available_action_exception", Reason: "no league server was tried" + bare}
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
	return cause{Type: kind, Reason: "the latest attempt ended as " + e.String() + bare}
}
