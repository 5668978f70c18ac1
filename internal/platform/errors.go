package platform

import (
	"errors"
	"fmt"
)

// Reasons for which a request cannot be served; each is the end of a counter's name.
const (
	reasonClass     = "unknown_class"
	reasonMethod    = "method"
	reasonMismatch  = "class_mismatch"
	reasonName      = "request_id"
	reasonTimeout   = "timeout"
	reasonTenant    = "unknown_tenant"
	reasonBody      = "body"
	reasonDuplicate = "duplicate_request_id"
)

// requestError is the error of a request that cannot be served: the reason, and the HTTP status of the response.
type requestError struct {
	reason string
	status int
	err    error
}

// badRequest returns a requestError with status 400.
func badRequest(reason, format string, args ...any) error {
	return &requestError{reason: reason, status: 400, err: fmt.Errorf(format, args...)}
}

// nameInUse returns the error of a query whose name is that of another one.
func nameInUse(name string) error {
	return &requestError{reason: reasonDuplicate, status: 409, err: fmt.Errorf("a query named %.40q is open", name)}
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

// reasonOf returns the reason of a requestError, and reasonBody for any other error: those are errors of the body.
func reasonOf(err error) string {
	var e *requestError
	if errors.As(err, &e) {
		return e.reason
	}
	return reasonBody
}
