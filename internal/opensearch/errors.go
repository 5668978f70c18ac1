package opensearch

import (
	"fmt"

	"linkpass/internal/http1"
)

// Exception types of OpenSearch, which clients know. Each comment says in which case this package uses the type.
const (
	errTypeIllegalArgument  = "illegal_argument_exception"               // a parameter, method or path
	errTypeValidation       = "action_request_validation_exception"      // a settings update that contains no settings
	errTypeJSONParse        = "json_parse_exception"                     // a body that is not JSON
	errTypeParsing          = "parsing_exception"                        // a body with unknown or invalid fields
	errTypeIndexNotFound    = "index_not_found_exception"                // an index that is not in the settings
	errTypeShardNotFound    = "shard_not_found_exception"                // a shard that the index doesn't have
	errTypeIllegalState     = "illegal_state_exception"                  // not served by this instance
	errTypeSearchPhase      = "search_phase_execution_exception"         // a search that failed partly or completely
	errTypeRejected         = "rejected_execution_exception"             // rejected: overload, a full queue or store
	errTypeContentTooLong   = "content_too_long_exception"               // store: settings too large
	errTypeCircuitBreaking  = "circuit_breaking_exception"               // store: too many proposals in flight
	errTypeNotLeader        = "not_cluster_manager_exception"            // store: another member leads
	errTypeNoLeader         = "cluster_manager_not_discovered_exception" // store: no leader known
	errTypeNoQuorum         = "process_cluster_event_timeout_exception"  // store: no quorum within the time
	errTypeOther            = "exception"                                // store: any other failure
	errTypeClusterBlock     = "cluster_block_exception"                  // store: not caught up since the start
	errTypeVersionConflict  = "version_conflict_engine_exception"        // store: compare-and-set failed
	errTypeNoShardAvailable = "no_shard_available_action_exception"      // attempt: none was made
	errTypeRemoteTransport  = "remote_transport_exception"               // attempt: any other failure
	errTypeConnect          = "connect_transport_exception"              // attempt: dial or write failed
	errTypeDisconnected     = "node_disconnected_exception"              // attempt: connection lost
	errTypeReceiveTimeout   = "receive_timeout_transport_exception"      // attempt: timed out
	errTypeShardState       = "illegal_index_shard_state_exception"      // attempt: the shard moved
	errTypeTaskCanceled     = "task_cancelled_exception"                 // attempt: canceled or not sent
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
	Status       int            `json:"-"` // HTTP status of the response
}

// Error returns the type and the reason.
func (e *apiError) Error() string { return e.Type + ": " + e.Reason }

// shardFailure is a shard, or a key range of a shard map, that gave no result.
type shardFailure struct {
	Shard  int      `json:"shard"`
	Index  string   `json:"index"`
	Reason apiError `json:"reason"`
	// Set only for an index with a shard map: the keys without a result, and the version of the map on which
	// they were requested.
	KeyRange   string `json:"range,omitempty"`
	MapVersion uint64 `json:"layout_version,omitempty"`
}

// catchUpRetryAfter is the Retry-After of a request that came before the settings are known, in seconds.
const catchUpRetryAfter = "1.000"

// settingsUnknown returns the error of a request that needs the settings before they are known.
func settingsUnknown(err error) *apiError {
	return &apiError{
		Type:   errTypeClusterBlock,
		Reason: "blocked by: [SERVICE_UNAVAILABLE/1/state not recovered / initialized]; " + err.Error(),
		Status: 503,
	}
}

func badRequest(errType, reason string) *apiError {
	return &apiError{Type: errType, Reason: reason, Status: 400}
}

func illegalArgument(format string, args ...any) *apiError {
	return badRequest(errTypeIllegalArgument, fmt.Sprintf(format, args...))
}

func parsingError(format string, args ...any) *apiError {
	return badRequest(errTypeParsing, fmt.Sprintf(format, args...))
}

func invalidBool(text string) *apiError {
	return illegalArgument("Failed to parse value [%.40s] as only [true] or [false] are allowed.", text)
}

func methodNotAllowed(req *http1.Request, allowed string) *apiError {
	reason := fmt.Sprintf("Incorrect HTTP method for uri [%.200s] and method [%.20s], allowed: [%s]",
		req.Path, req.Method, allowed)
	return &apiError{Type: errTypeIllegalArgument, Status: 405, Reason: reason}
}

func indexNotFound(index string) *apiError {
	reason := fmt.Sprintf("no such index [%.255s]", index)
	return &apiError{Type: errTypeIndexNotFound, Reason: reason, Index: index, Status: 404}
}

func shardNotFound(index, format string, args ...any) *apiError {
	return &apiError{Type: errTypeShardNotFound, Reason: fmt.Sprintf(format, args...), Index: index, Status: 404}
}

func classNotServed(index, class string) *apiError {
	reason := fmt.Sprintf("index [%s] is of class [%s], which this instance does not serve", index, class)
	return &apiError{Type: errTypeIllegalState, Reason: reason, Index: index, Status: 500}
}

// bodyNotStored returns the error of a large search whose body the body store has no capacity for or can no longer
// read.
func bodyNotStored() *apiError {
	return &apiError{
		Type:   errTypeRejected,
		Reason: "the search's body could not be stored; the search can safely be retried",
		Status: 429,
	}
}
