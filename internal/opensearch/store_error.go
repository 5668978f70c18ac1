package opensearch

import (
	"context"
	"errors"

	"linkpass/internal/eventlog"
	"linkpass/internal/http1"
	"linkpass/internal/metrics"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// storeErrorLog limits the log events of calls that the store could not serve, which any client can make.
var storeErrorLog eventlog.RateLimited

// storeErrorResponse returns the response to a request for path that failed in the store. A follower redirects to the
// leader. A failure of the store itself is counted. The status is 429 or 503 only if nothing was changed, so that the
// request may be repeated.
func storeErrorResponse(err error, path string, counters *metrics.Counters) *http1.Response {
	reason := err.Error()
	var notLeader *store.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		res := errorResponse(&apiError{Type: errTypeNotLeader, Reason: reason, Status: 307})
		res.Header["Location"] = []string{"http://" + notLeader.Leader.HTTP + path}
		return res
	case errors.Is(err, searchconfig.ErrInvalid):
		return errorResponse(badRequest(errTypeIllegalArgument, reason))
	case errors.Is(err, store.ErrTooLarge):
		return errorResponse(&apiError{Type: errTypeContentTooLong, Reason: reason, Status: 413})
	case errors.Is(err, store.ErrRateLimited):
		return errorResponse(&apiError{Type: errTypeCircuitBreaking, Reason: reason, Status: 429})
	case errors.Is(err, store.ErrConflict):
		return errorResponse(&apiError{Type: errTypeVersionConflict, Reason: reason, Status: 409})
	}
	e := &apiError{Type: errTypeNoLeader, Reason: reason, Status: 503}
	if errors.Is(err, store.ErrNoQuorum) || errors.Is(err, context.DeadlineExceeded) {
		e.Type = errTypeNoQuorum
	}
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		e.Type, e.Status = errTypeNoQuorum, 504
	case !store.ChangedNothing(err):
		e.Type, e.Status = errTypeOther, 500
	}
	counters.Add("store_unavailable", 1)
	storeErrorLog.Log(eventlog.StoreFailed, err)
	return errorResponse(e)
}
