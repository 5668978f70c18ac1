package http1

// closeReason says why a connection that waited for a request, or for the rest of one, was ended. It is the end of the
// name of a counter.
type closeReason string

const (
	closedByClient    closeReason = "closed_by_client"
	closedIdle        closeReason = "closed_idle_timeout"   // no request within IdleTimeout
	closedSilent      closeReason = "closed_silent"         // nothing within FirstRequestTimeout of connecting
	closedDraining    closeReason = "closed_draining"       // the server drains or stops
	closedOverLimit   closeReason = "closed_over_limit"     // MaxConns was lowered
	closedUnread      closeReason = "closed_before_service" // the client had left before its request was served
	closedWriteFailed closeReason = "write_failed"          // the response could not be written, or not in time
)

// evictionReasons are the reasons for the eviction of a connection, by its rank.
var evictionReasons = [...]closeReason{
	rankNotEvictable:    "conns_evicted",
	rankStuckRequest:    "evicted_stuck_request",
	rankIdle:            "evicted_idle",
	rankNew:             "evicted_new",
	rankStuckFirst:      "evicted_stuck_first_request",
	rankIncompleteFirst: "evicted_incomplete_first_request",
	rankLongIdle:        "evicted_long_idle",
	rankSilent:          "evicted_silent",
	rankLingering:       "evicted_lingering",
}

// rejectionReasons name the counters of rejected requests, by the status of the response.
var rejectionReasons = map[int]string{
	statusBadRequest:          "rejected_malformed",
	statusRequestTimeout:      "rejected_request_timeout",
	statusContentTooLarge:     "rejected_body_too_large",
	statusTooManyRequests:     "rejected_no_room_for_body",
	statusHeaderTooLarge:      "rejected_head_too_large",
	statusNotImplemented:      "rejected_unsupported_encoding",
	statusServiceUnavailable:  "rejected_no_memory",
	statusVersionNotSupported: "rejected_unsupported_version",
}

// rejectionReason returns the end of the name of the counter of requests that were rejected with a status.
func rejectionReason(status int) string {
	if reason := rejectionReasons[status]; reason != "" {
		return reason
	}
	return "rejected_other"
}
