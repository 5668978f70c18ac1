package discovery

import "fmt"

// InvalidEndpointError says that an endpoint of a list can't be used, and so the list can't either.
type InvalidEndpointError struct {
	ID    string
	State string
	Cell  int
	Err   error // why the address can't be resolved; nil: another field is invalid
}

// Error names the endpoint and the cause.
func (e *InvalidEndpointError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("discovery: server %q: %v", e.ID, e.Err)
	}
	return fmt.Sprintf("discovery: unusable server %q state %q cell %d", e.ID, e.State, e.Cell)
}

// Unwrap returns the cause of an address that can't be resolved, or nil.
func (e *InvalidEndpointError) Unwrap() error { return e.Err }

// staleVersionError says that changes are older than the version already applied.
type staleVersionError struct{ version, applied int64 }

func (e *staleVersionError) Error() string {
	return fmt.Sprintf("discovery: version %d after %d", e.version, e.applied)
}

// statusError is the HTTP status of a response that carries no list: discovery rejected the call.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }
