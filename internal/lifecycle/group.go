// Package lifecycle starts, runs and stops the components of a program in order: a component starts after those it
// depends on, and all stop in reverse order. If a component fails to start, those started before it are stopped. The
// package does not restart a component whose Run returns, and it does not depend on what a component does.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// Group is the ordered list of a program's components. It is not safe for concurrent use.
type Group struct {
	components []*managedComponent
	running    bool            // Run was called, and Stop has not been called since
	ctx        context.Context // given to Run; a component that starts later runs under it too
}

// New returns a group that starts components in the given order. It fails if a name is duplicate, or if a dependency
// does not precede the component that depends on it.
func New(components ...Component) (*Group, error) {
	g := &Group{}
	for _, c := range components {
		if g.find(c.Name) != nil {
			return nil, fmt.Errorf("component %s is listed twice", c.Name)
		}
		for _, name := range c.DependsOn {
			if g.find(name) == nil {
				return nil, fmt.Errorf("component %s depends on %s, which does not precede it", c.Name, name)
			}
		}
		g.components = append(g.components, &managedComponent{Component: c})
	}
	return g, nil
}

func (g *Group) find(name string) *managedComponent {
	i := slices.IndexFunc(g.components, func(r *managedComponent) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return g.components[i]
}

// Start starts, in order, every component that is not started yet; the deferred ones only if deferred is true. If one
// fails to start, those that this call has started are stopped in reverse order, and the error names the one that
// failed.
func (g *Group) Start(deferred bool) error {
	var started []*managedComponent
	for _, r := range g.components {
		if r.started || r.Deferred && !deferred {
			continue
		}
		if err := r.start(g); err != nil {
			for _, s := range slices.Backward(started) {
				_ = s.stop() // its error is dropped: only the start's error tells the cause
			}
			return fmt.Errorf("%s: %w", r.Name, err)
		}
		started = append(started, r)
	}
	return nil
}

// StartDeferred starts the deferred components while the others run. It reports a component that fails to start to
// onError; the others are not stopped, because the program continues without the one that failed.
func (g *Group) StartDeferred(onError func(name string, err error)) {
	for _, r := range g.components {
		if !r.Deferred || r.started {
			continue
		}
		if err := r.start(g); err != nil {
			onError(r.Name, err)
		}
	}
}

// Run runs every started component, and later ones as they start, until ctx ends or Stop is called. It does not block.
func (g *Group) Run(ctx context.Context) {
	g.running, g.ctx = true, ctx
	for _, r := range g.components {
		if r.started {
			r.run(ctx)
		}
	}
}

// Stop stops all started components in reverse order, each within its StopTimeout. A component that does not stop in
// time is abandoned and named in the error, which wraps ErrStopTimeout.
func (g *Group) Stop() error {
	var errs []error
	for _, r := range slices.Backward(g.components) {
		if !r.started {
			continue
		}
		if err := r.stop(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", r.Name, err))
		}
	}
	g.running = false
	return errors.Join(errs...)
}
