// Package parts starts and ends the parts of a program in one order: each once those that it needs stand, and
// all of them or none.
package parts

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Part is one subsystem. What is nil there is nothing to do for.
type Part struct {
	Name  string
	Needs []string // names of parts that stand before it in the list
	Late  bool     // opens with a later call than the first
	// Open takes what the part holds: addresses, files. What it took before it failed it gives back itself.
	Open func() error
	// Run works until the context ends.
	Run func(context.Context)
	// Close gives back what Open took. Run has returned, or was given up.
	Close func() error
	// Limit is what Run and Close may take to end, together; 0: DefaultLimit.
	Limit time.Duration
}

// DefaultLimit bounds the end of a part that names no other limit.
const DefaultLimit = 5 * time.Second

// List is a program's parts in their order. Its calls are made one at a time.
type List struct {
	parts  []*running
	begun  bool
	parent context.Context
}

type running struct {
	Part
	open   bool
	cancel context.CancelFunc
	done   chan struct{} // closed once Run has returned; nil: it was never begun
}

// New orders parts as they are given. A name that is there twice, or a need that does not stand
// before the one that has it, is an error.
func New(list ...Part) (*List, error) {
	l := &List{}
	for _, p := range list {
		if l.find(p.Name) != nil {
			return nil, fmt.Errorf("part %s is there twice", p.Name)
		}
		for _, need := range p.Needs {
			if l.find(need) == nil {
				return nil, fmt.Errorf("part %s needs %s, which does not stand before it", p.Name, need)
			}
		}
		l.parts = append(l.parts, &running{Part: p})
	}
	return l, nil
}

func (l *List) find(name string) *running {
	i := slices.IndexFunc(l.parts, func(r *running) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return l.parts[i]
}

// Open opens, in order, all parts that are not open yet: the late ones too where late is set. If one fails, those
// that this call has opened are closed in reverse order, and the error names the part.
func (l *List) Open(late bool) error {
	var fresh []*running
	for _, r := range l.parts {
		if r.open || r.Late && !late {
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

// OpenLate opens the late parts while the others run: each by itself, as the program goes on without it. It tells of
// each that fails.
func (l *List) OpenLate(failed func(name string, err error)) {
	for _, r := range l.parts {
		if r.Late && !r.open {
			if err := r.start(l); err != nil {
				failed(r.Name, err)
			}
		}
	}
}

// start opens one part, and lets it run if the others run already.
func (r *running) start(l *List) error {
	for _, need := range r.Needs {
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
func (l *List) Run(ctx context.Context) {
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
func (l *List) Stop() error {
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

// ErrStuck says that a part did not end within its limit.
var ErrStuck = errors.New("did not end in time")

func (r *running) end() error {
	r.open = false
	limit := r.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	over := time.NewTimer(limit)
	defer over.Stop()
	if r.done != nil {
		r.cancel()
		select {
		case <-r.done:
			r.done = nil
		case <-over.C:
			return fmt.Errorf("%w: %s", ErrStuck, limit)
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
		return fmt.Errorf("%w: %s", ErrStuck, limit)
	}
}
