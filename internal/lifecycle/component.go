package lifecycle

import (
	"context"
	"errors"
	"time"
)

// Component is one subsystem of a program. Start, Run and Stop may be nil; they are then skipped.
type Component struct {
	Name      string   // unique in the group
	DependsOn []string // names of components that precede this one in the group
	Deferred  bool     // not started by Start(false), but by StartDeferred or Start(true)
	// Start acquires the component's resources, such as addresses and files. If it fails, it must release those that it
	// has acquired.
	Start func() error
	// Run works until the context ends.
	Run func(context.Context)
	// Stop releases what Start acquired. It is called once Run has returned, and not if Run exceeds StopTimeout.
	Stop func() error
	// StopTimeout limits how long the return of Run and the call of Stop take together; 0 or less means
	// DefaultStopTimeout.
	StopTimeout time.Duration
}

// DefaultStopTimeout is the StopTimeout of a component that sets none.
const DefaultStopTimeout = 5 * time.Second

// ErrStopTimeout reports that a component did not stop within its StopTimeout.
var ErrStopTimeout = errors.New("did not stop in time")
