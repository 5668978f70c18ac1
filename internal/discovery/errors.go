package discovery

import "fmt"

// InvalidEndpointError reports an endpoint that can't be used. The list that contains it is rejected.
type InvalidEndpointError struct {
	ID    string
	State string
	Cell  int
	Err   error // why the address can't be resolved; nil if another field is invalid
}

// Error returns a text with the endpoint and the cause.
func (e *InvalidEndpointError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("discovery: server %q: %v", e.ID, e.Err)
	}
	return fmt.Sprintf("discovery: unusable server %q state %q cell %d", e.ID, e.State, e.Cell)
}

// Unwrap returns why the address can't be resolved, or nil if another field is invalid.
func (e *InvalidEndpointError) Unwrap() error { return e.Err }

// staleVersionError reports changes whose version is older than the one already applied.
type staleVersionError struct{ version, applied int64 }

func (e *staleVersionError) Error() string {
	return fmt.Sprintf("discovery: version %d is older than the applied version %d", e.version, e.applied)
}

// statusError is the HTTP status, other than 200, with which discovery rejected a call.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }
