package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"

	"linkpass/internal/http1"
)

// ErrUnreachable says that no coordinator answers at the client's address.
var ErrUnreachable = errors.New("no coordinator answers")

// ResponseError is a response with a status other than 2xx.
type ResponseError struct {
	Status int
	Reason string

	notProcessed bool // the call was rejected before it was read
}

// Error returns the reason.
func (e *ResponseError) Error() string { return e.Reason }

// newResponseError returns the error of a response.
func newResponseError(res *http1.Response) *ResponseError {
	if res.Status == 503 && len(res.Body) == 0 { // the listener's own; an error of the API has a body
		return &ResponseError{
			Status:       res.Status,
			Reason:       "all connections of the admin API are in use",
			notProcessed: true,
		}
	}
	return &ResponseError{Status: res.Status, Reason: errorReason(res)}
}

// errorReason reads the reason from an error response of the API or of the search front.
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
