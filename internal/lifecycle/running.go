package lifecycle

import (
	"context"
	"fmt"
	"time"
)

// managedComponent is a component and its state within a group.
type managedComponent struct {
	Component
	started bool
	cancel  context.CancelFunc
	done    chan struct{} // closed by run's goroutine once Run has returned; nil: no Run to wait for
}

// start starts the component, and runs it if the group is running already. It fails if a dependency is not started.
func (r *managedComponent) start(g *Group) error {
	for _, name := range r.DependsOn {
		if !g.find(name).started {
			return fmt.Errorf("depends on %s, which is not started", name)
		}
	}
	if r.Start != nil {
		if err := r.Start(); err != nil {
			return err
		}
	}
	r.started = true
	if g.running {
		r.run(g.ctx)
	}
	return nil
}

// run calls the component's Run in a goroutine. The method stop waits for its end.
func (r *managedComponent) run(parent context.Context) {
	if r.Run == nil {
		return
	}
	ctx, cancel := context.WithCancel(parent)
	r.cancel, r.done = cancel, make(chan struct{})
	go func() {
		defer close(r.done)
		r.Run(ctx)
	}()
}

// stop cancels Run, waits for its return and calls Stop, all within StopTimeout. If Run does not return in time, Stop
// is not called.
func (r *managedComponent) stop() error {
	r.started = false
	limit := r.StopTimeout
	if limit <= 0 {
		limit = DefaultStopTimeout
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	if r.done != nil {
		r.cancel()
		select {
		case <-r.done:
			r.done = nil
		case <-timeout.C:
			return fmt.Errorf("%w: %s", ErrStopTimeout, limit)
		}
	}
	if r.Stop == nil {
		return nil
	}
	stopped := make(chan error, 1) // buffered, so that the goroutine of a Stop that exceeds the timeout can still end
	go func() { stopped <- r.Stop() }()
	select {
	case err := <-stopped:
		return err
	case <-timeout.C:
		return fmt.Errorf("%w: %s", ErrStopTimeout, limit)
	}
}
