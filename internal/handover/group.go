// Package handover makes the processes of one coordinator share one set of limits while they run at the same time, as
// one version takes over from another.
//
// The processes form a group through a Unix socket. The one that listens there is the leader and sends each follower its
// share; when the leader ends, a follower takes its place. The package owns the socket and computes the shares. It does
// not apply them: each process does that itself, in the callback that it joins with.
package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Group is this process's membership in the group of a coordinator's processes.
type Group struct {
	path    string // of the socket
	maxOpen int    // of all processes together
	onShare func(Share)

	mu        sync.Mutex // guards the fields below
	listener  net.Listener
	leader    net.Conn          // nil: this process leads
	followers map[net.Conn]bool // of a leader
	retiring  bool              // this process accepts nothing more
	retained  int               // what it had in flight when it began to retire
	closed    bool

	wg sync.WaitGroup // of all goroutines
}

// Join joins the group of a coordinator's processes, which use a directory together. It calls onShare with the first
// share before it returns and, from another goroutine, with each later one; onShare must not call the group.
// After an error this process is alone in the group, which must be closed all the same.
func Join(dir, name string, maxOpen int, onShare func(Share)) (*Group, error) {
	g := &Group{
		path:      filepath.Join(dir, "linkpass-"+filepath.Base(name)+".sock"),
		maxOpen:   maxOpen,
		onShare:   onShare,
		followers: map[net.Conn]bool{},
	}
	return g, g.enter()
}

// enter follows the group's leader, or becomes it where there is none.
func (g *Group) enter() error {
	unlock, err := lockFile(g.path + ".lock") // of two processes that start at once, the second finds the first listening
	if err != nil {
		return fmt.Errorf("handover: join %s: %w", g.path, err)
	}
	defer unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	if leader, err := net.Dial("unix", g.path); err == nil {
		g.follow(leader)
		return nil
	}
	if err := g.lead(); err != nil {
		return fmt.Errorf("handover: lead %s: %w", g.path, err)
	}
	return nil
}

// lockFile waits for the exclusive lock on a file, which it creates where there is none.
func lockFile(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		_ = file.Close()
		return nil, &os.PathError{Op: "flock", Path: path, Err: err}
	}
	return func() { _ = file.Close() }, nil
}

// lead makes this process the leader; mu is locked.
func (g *Group) lead() error {
	// A process that crashed has left its socket behind.
	if err := os.Remove(g.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	listener, err := net.Listen("unix", g.path)
	if err != nil {
		return err
	}
	g.listener = listener
	g.leader = nil
	g.onShare(Share{Processes: 1, MaxOpen: g.maxOpen})
	g.wg.Go(func() { g.acceptFollowers(listener) })
	return nil
}

// Retire records that this process accepts nothing more and has so much in flight: the rest of its share is the others'.
func (g *Group) Retire(inFlight int) {
	g.update(func() {
		g.retiring = true
		g.retained = inFlight
	})
}

// Close leaves the group and waits for all goroutines.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	if g.listener != nil {
		_ = g.listener.Close() // removes the socket
	}
	if g.leader != nil {
		_ = g.leader.Close()
	}
	for follower := range g.followers {
		_ = follower.Close()
	}
	g.mu.Unlock()
	g.wg.Wait()
}
