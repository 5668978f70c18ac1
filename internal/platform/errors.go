package platform

import (
	"errors"
)

// requestError is the error of a request that cannot be served, with the HTTP status of the response.
type requestError struct {
	status int
	err    error
}

// Error returns the text that is sent to the client.
func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

// statusOf returns the HTTP status of the response to a request that failed with err: that of a requestError, and 400
// for any other error.
func statusOf(err error) int {
	var e *requestError
	if errors.As(err, &e) {
		return e.status
	}
	return 400
}
