package lifecycle

import (
	"context"
	"errors"
	"time"
)

// Component is one subsystem of a program. A hook that is nil is skipped.
type Component struct {
	Name      string
	DependsOn []string // names of components that precede this one in the group
	Deferred  bool     // started by StartDeferred, or by Start with deferred set
	// Start acquires what the component owns: addresses, files. If it fails it releases what it has acquired.
	Start func() error
	// Run works until the context ends.
	Run func(context.Context)
	// Stop releases what Start acquired. Run has returned by then, or has exceeded StopTimeout.
	Stop func() error
	// StopTimeout bounds the end of Run and Stop together; 0: DefaultStopTimeout.
	StopTimeout time.Duration
}

// DefaultStopTimeout bounds the stop of a component that sets no StopTimeout.
const DefaultStopTimeout = 5 * time.Second

// ErrStopTimeout reports that a component did not stop within its StopTimeout.
var ErrStopTimeout = errors.New("did not stop in time")
