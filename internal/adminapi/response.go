package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/textproto"

	"linkpass/internal/config/restriction"
	"linkpass/internal/endpoints"
	"linkpass/internal/http1"
	"linkpass/internal/searchconfig"
	"linkpass/internal/store"
)

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// jsonResponse returns a response with status 200 and v encoded as JSON, or with status 500 if v cannot be encoded.
func jsonResponse(v any) *http1.Response {
	data, err := json.Marshal(v)
	if err != nil {
		return errorResponse(500, err)
	}
	return rawJSONResponse(200, data)
}

// errorResponse returns a response with the text of the error in an errorBody.
func errorResponse(status int, err error) *http1.Response {
	data, _ := json.Marshal(errorBody{err.Error()}) // cannot fail: any string can be encoded
	return rawJSONResponse(status, data)
}

// rawJSONResponse returns a response with a body that is already JSON.
func rawJSONResponse(status int, data []byte) *http1.Response {
	return &http1.Response{
		Status: status,
		Body:   data,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json"}},
	}
}

// storeErrorResponse returns the response for an error of the replicated store. An instance that is not the leader
// responds with status 421.
func storeErrorResponse(err error) *http1.Response {
	var notLeader *store.NotLeaderError
	if errors.As(err, &notLeader) {
		return errorResponse(421, fmt.Errorf("%w; ask there", err))
	}
	return errorResponse(storeErrorStatus(err), err)
}

// storeErrorStatus returns the status for an error of the store other than store.NotLeaderError. It is 429 or 503 only if
// nothing was changed, so that the call may be repeated.
func storeErrorStatus(err error) int {
	var rejected *endpoints.RejectedError
	switch {
	case errors.As(err, &rejected),
		errors.Is(err, ErrNoStore),
		errors.Is(err, store.ErrConflict),
		errors.Is(err, store.ErrUnknownMember),
		errors.Is(err, store.ErrQuorumAtRisk),
		errors.Is(err, store.ErrLearnerBehind):
		return 409
	case errors.Is(err, searchconfig.ErrInvalid):
		return 400
	case errors.Is(err, store.ErrTooLarge):
		return 413
	case errors.Is(err, store.ErrRateLimited):
		return 429
	case errors.Is(err, store.ErrOutcomeUnknown):
		return 504
	case store.ChangedNothing(err), errors.Is(err, endpoints.ErrStoreNotReady), errors.Is(err, restriction.ErrTooManyPending):
		return 503
	}
	return 500
}
