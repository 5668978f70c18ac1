package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"

	"linkpass/internal/http1"
)

// ErrUnreachable is returned if no coordinator answers at the client's socket or address.
var ErrUnreachable = errors.New("no coordinator answers")

// ResponseError is the error for a response with a status other than 2xx.
type ResponseError struct {
	Status int    // HTTP status
	Reason string // the text of the error, for a person

	notProcessed bool // the listener rejected the call before it read the request
}

// Error returns the reason.
func (e *ResponseError) Error() string { return e.Reason }

// newResponseError returns the error for a response.
func newResponseError(res *http1.Response) *ResponseError {
	if res.Status == 503 && len(res.Body) == 0 { // from the listener: errors of the API have a body
		return &ResponseError{
			Status:       res.Status,
			Reason:       "all connections of the admin API are in use",
			notProcessed: true,
		}
	}
	return &ResponseError{Status: res.Status, Reason: errorReason(res)}
}

// errorReason returns the reason in an error response of the API or of the search front, or in a follower's redirect.
// For any other response it returns the status and the start of the body.
func errorReason(res *http1.Response) string {
	var apiError errorBody
	if json.Unmarshal(res.Body, &apiError) == nil && apiError.Error != "" {
		return apiError.Error
	}
	var searchError struct {
		Error struct {
			Type, Reason string
		}
	}
	if json.Unmarshal(res.Body, &searchError) == nil && searchError.Error.Reason != "" {
		return searchError.Error.Reason
	}
	if leader := res.Header.Get("Location"); leader != "" {
		return "another instance leads the store: " + leader
	}
	return fmt.Sprintf("status %d: %.200s", res.Status, res.Body)
}
