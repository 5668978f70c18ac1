package platform

import (
	"errors"
)

// requestError is a request that can't be served, with the status of its response.
type requestError struct {
	status int
	err    error
}

// Error is the text that the client gets.
func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

// statusOf is the status of a response to a request that failed with err: 400 where it names none.
func statusOf(err error) int {
	var e *requestError
	if errors.As(err, &e) {
		return e.status
	}
	return 400
}
