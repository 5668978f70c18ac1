// Package lifecycle starts and ends the parts of a program in one order: each once those that it needs stand, and
// all of them or none.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Component is one subsystem. What is nil there is nothing to do for.
type Component struct {
	Name      string
	DependsOn []string // names of parts that stand before it in the list
	Deferred  bool     // opens with a later call than the first
	// Open takes what the part holds: addresses, files. What it took before it failed it gives back itself.
	Open func() error
	// Run works until the context ends.
	Run func(context.Context)
	// Close gives back what Open took. Run has returned, or was given up.
	Close func() error
	// StopTimeout is what Run and Close may take to end, together; 0: DefaultLimit.
	StopTimeout time.Duration
}

// DefaultStopTimeout bounds the end of a part that names no other limit.
const DefaultStopTimeout = 5 * time.Second

// Group is a program's parts in their order. Its calls are made one at a time.
type Group struct {
	parts  []*running
	begun  bool
	parent context.Context
}

type running struct {
	Component
	open   bool
	cancel context.CancelFunc
	done   chan struct{} // closed once Run has returned; nil: it was never begun
}

// New orders parts as they are given. A name that is there twice, or a need that does not stand
// before the one that has it, is an error.
func New(list ...Component) (*Group, error) {
	l := &Group{}
	for _, p := range list {
		if l.find(p.Name) != nil {
			return nil, fmt.Errorf("part %s is there twice", p.Name)
		}
		for _, need := range p.DependsOn {
			if l.find(need) == nil {
				return nil, fmt.Errorf("part %s needs %s, which does not stand before it", p.Name, need)
			}
		}
		l.parts = append(l.parts, &running{Component: p})
	}
	return l, nil
}

func (l *Group) find(name string) *running {
	i := slices.IndexFunc(l.parts, func(r *running) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return l.parts[i]
}

// Open opens, in order, all parts that are not open yet: the late ones too where late is set. If one fails, those
// that this call has opened are closed in reverse order, and the error names the part.
func (l *Group) Open(late bool) error {
	var fresh []*running
	for _, r := range l.parts {
		if r.open || r.Deferred && !late {
			continue
		}
		if err := r.start(l); err != nil {
			slices.Reverse(fresh)
			for _, f := range fresh {
				_ = f.end()
			}
			return fmt.Errorf("%s: %w", r.Name, err)
		}
		fresh = append(fresh, r)
	}
	return nil
}

// OpenDeferred opens the late parts while the others run: each by itself, as the program goes on without it. It tells of
// each that fails.
func (l *Group) OpenDeferred(failed func(name string, err error)) {
	for _, r := range l.parts {
		if r.Deferred && !r.open {
			if err := r.start(l); err != nil {
				failed(r.Name, err)
			}
		}
	}
}

// start opens one part, and lets it run if the others run already.
func (r *running) start(l *Group) error {
	for _, need := range r.DependsOn {
		if !l.find(need).open {
			return fmt.Errorf("it needs %s, which is not open", need)
		}
	}
	if r.Open != nil {
		if err := r.Open(); err != nil {
			return err
		}
	}
	r.open = true
	if l.begun {
		r.begin(l.parent)
	}
	return nil
}

// Run lets all parts run that are open, and each that opens later.
func (l *Group) Run(ctx context.Context) {
	l.begun, l.parent = true, ctx
	for _, r := range l.parts {
		if r.open {
			r.begin(ctx)
		}
	}
}

func (r *running) begin(parent context.Context) {
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

// Stop ends all parts in reverse order, each within its limit; one that does not end is named in the error and
// left behind.
func (l *Group) Stop() error {
	var faults []error
	for _, r := range slices.Backward(l.parts) {
		if r.open {
			if err := r.end(); err != nil {
				faults = append(faults, fmt.Errorf("%s: %w", r.Name, err))
			}
		}
	}
	l.begun = false
	return errors.Join(faults...)
}

// ErrStopTimeout says that a part did not end within its limit.
var ErrStopTimeout = errors.New("did not end in time")

func (r *running) end() error {
	r.open = false
	limit := r.StopTimeout
	if limit <= 0 {
		limit = DefaultStopTimeout
	}
	over := time.NewTimer(limit)
	defer over.Stop()
	if r.done != nil {
		r.cancel()
		select {
		case <-r.done:
			r.done = nil
		case <-over.C:
			return fmt.Errorf("%w: %s", ErrStopTimeout, limit)
		}
	}
	if r.Close == nil {
		return nil
	}
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	select {
	case err := <-closed:
		return err
	case <-over.C:
		return fmt.Errorf("%w: %s", ErrStopTimeout, limit)
	}
}
